package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.kitepath.core.model.JobSpec;
import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the forecasts from recent jobs, and which jobs count as large. */
class RecentArrivalsTest {
    private final RecentArrivals arrivals = new RecentArrivals();
    private final JobSizes sizes = new JobSizes();
    private int nextId;

    private JobSpec spec(Shape shape, int tasks) {
        return SimulatedCluster.job("j-" + ++nextId, shape, tasks, 1);
    }

    private void add(Shape shape, int tasks, double submittedMillis) {
        JobSpec spec = spec(shape, tasks);
        arrivals.add(new Job(spec, submittedMillis, new double[] {60}, "k", 1, 256));
    }

    @Test
    void typicalSpecIsJobAtQuantileOfClassSizes() {
        for (int tasks : List.of(40, 10, 30, 20)) {
            add(Shape.ARRAY, tasks, 1000 * tasks);
        }
        assertEquals(10, arrivals.typicalSpec("work", 0, 40_000, 60).taskCount());
        assertEquals(30, arrivals.typicalSpec("work", 0.5, 40_000, 60).taskCount());
        assertEquals(40, arrivals.typicalSpec("work", 1, 40_000, 60).taskCount());
        assertNull(arrivals.typicalSpec("other", 0.5, 40_000, 60));
    }

    @Test
    void typicalSpecIsNullOnceNextJobIsOverdueByTenIntervalsAndMinimumSeconds() {
        for (int i = 1; i <= 4; i++) {
            add(Shape.ARRAY, 10, 10_000 * i);
        }
        assertEquals(10, arrivals.typicalSpec("work", 0.5, 140_000, 60).taskCount());
        assertNull(arrivals.typicalSpec("work", 0.5, 140_001, 60));
        assertEquals(10, arrivals.typicalSpec("work", 0.5, 160_000, 120).taskCount());
    }

    @Test
    void ratesCountOnlyArrivalsInLaterHalf() {
        add(Shape.GANG, 4, 0);
        add(Shape.GANG, 6, 60_000);
        add(Shape.GANG, 8, 90_000);
        assertEquals(0.04, arrivals.jobsPerSecond("work", 100_000));
        assertEquals(0, arrivals.jobsPerSecond("other", 100_000));
        List<RecentArrivals.ArrivalRate> rates = arrivals.gangArrivalRates(100_000);
        assertEquals(1, rates.size());
        assertEquals(14 * 1000.0 / 50_000, rates.get(0).tasksPerSecond());
        assertEquals("j-1", rates.get(0).sampleSpec().id());
        assertEquals(List.of(), arrivals.gangArrivalRates(200_000));
    }

    @Test
    void largestJobsAreInUpperQuartileOnceEightJobsAreKnown() {
        for (int tasks = 1; tasks <= 7; tasks++) {
            sizes.add(spec(Shape.ARRAY, tasks));
        }
        assertEquals(false, sizes.isAmongLargest(spec(Shape.ARRAY, 1000)));
        sizes.add(spec(Shape.ARRAY, 8));
        assertEquals(true, sizes.isAmongLargest(spec(Shape.ARRAY, 7)));
        assertEquals(false, sizes.isAmongLargest(spec(Shape.ARRAY, 6)));
    }

    @Test
    void largestJobsExceedSizeThatMostJobsHave() {
        for (int i = 0; i < 8; i++) {
            sizes.add(spec(Shape.ARRAY, 5));
        }
        assertEquals(false, sizes.isAmongLargest(spec(Shape.ARRAY, 5)));
        assertEquals(true, sizes.isAmongLargest(spec(Shape.ARRAY, 6)));
    }
}
