package io.kitepath.core.model;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Seconds that the event loop spent, by activity. On a small share of a core this time runs out
 * first, and nobody can tell from outside what took it. For use on the event loop only.
 */
public final class LoopTimeAccounting {
    /** What the event loop does. The names are part of metrics' names. */
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

    /** Seconds on the steady clock. */
    public double now() {
        return clock.getAsDouble();
    }

    /** Adds the time from {@code startedAt}, on the steady clock, until now to the activity. */
    public void record(Activity activity, double startedAt) {
        seconds.merge(activity, now() - startedAt, Double::sum);
    }

    /** Seconds spent on the activity since this process was started. */
    public double seconds(Activity activity) {
        return seconds.getOrDefault(activity, 0.0);
    }

    /**
     * All activities with their seconds, for the log: {@code " placing=1.2 giving_way=0.0 ..."}.
     */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (Activity activity : Activity.values()) {
            text.append(' ')
                    .append(activity.name().toLowerCase(Locale.ROOT))
                    .append('=')
                    .append(String.format("%.1f", seconds(activity)));
        }
        return text.toString();
    }
}
