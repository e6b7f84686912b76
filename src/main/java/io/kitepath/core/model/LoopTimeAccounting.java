package io.kitepath.core.model;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * Measures the seconds that the event loop spends on each activity. On a small CPU share, event
 * loop time is the first resource to be exhausted, and its use cannot be determined from outside
 * the process. For use on the event loop only.
 */
public final class LoopTimeAccounting {
    /** An activity of the event loop. The names are part of metric names. */
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
    private final Map<Activity, Double> secondsByActivity = new EnumMap<>(Activity.class);

    /**
     * Creates an accounting without any recorded time.
     *
     * @param clock returns seconds on the steady clock
     */
    public LoopTimeAccounting(DoubleSupplier clock) {
        this.clock = clock;
    }

    /** Returns the current time in seconds on the steady clock. */
    public double nowSeconds() {
        return clock.getAsDouble();
    }

    /** Adds the time since {@code startedAtSeconds}, on the steady clock, to the activity. */
    public void record(Activity activity, double startedAtSeconds) {
        secondsByActivity.merge(activity, nowSeconds() - startedAtSeconds, Double::sum);
    }

    /** Returns the seconds spent on the activity since the process started. */
    public double seconds(Activity activity) {
        return secondsByActivity.getOrDefault(activity, 0.0);
    }

    /** Returns the seconds by activity, for the log: {@code " placing=1.2 giving_way=0.0 ..."}. */
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
