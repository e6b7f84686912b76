package io.kitepath.core.model;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Seconds that the event loop spent, by what it did. On a sliver of a core that is what runs out
 * first, and nobody can tell from outside what took it.
 */
public final class LoopTimeAccounting {
    public enum Activity {
        PLACING,
        GIVING_WAY,
        ORDERING,
        WRITING,
        STOPPING,
        PLANNING,
        CHECK_INS,
        ANSWERS
    }

    private final DoubleSupplier clock;
    private final Map<Activity, Double> seconds = new EnumMap<>(Activity.class);

    /** {@code clock}: seconds on the steady clock. */
    public LoopTimeAccounting(DoubleSupplier clock) {
        this.clock = clock;
    }

    public double now() {
        return clock.getAsDouble();
    }

    /** What was begun then has ended now. */
    public void record(Activity what, double begun) {
        seconds.merge(what, now() - begun, Double::sum);
    }

    public double seconds(Activity what) {
        return seconds.getOrDefault(what, 0.0);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (Activity o : Activity.values()) {
            text.append(' ')
                    .append(o.name().toLowerCase(Locale.ROOT))
                    .append('=')
                    .append(String.format("%.1f", seconds(o)));
        }
        return text.toString();
    }
}
