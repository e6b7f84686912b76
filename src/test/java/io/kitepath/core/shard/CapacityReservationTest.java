package io.kitepath.core.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.core.model.JobSpec.Shape;
import io.kitepath.simulation.SimulatedCluster;
import org.junit.jupiter.api.Test;

/** Tests how long a machine's capacity is reserved, and what may run there in the meantime. */
class CapacityReservationTest {
    private final CapacityReservation reservation = new CapacityReservation();
    private final Job job = job(Shape.ARRAY);

    private static Job job(Shape shape) {
        return new Job(
                SimulatedCluster.job("j-1", shape, 1, 1),
                0,
                new double[] {60},
                "jobs/open/j-1",
                1,
                256);
    }

    @Test
    void strictReservationEndsWhenItsTimeHasPassed() {
        reservation.reserve(job, 10);
        reservation.refresh(9);
        assertEquals(job, reservation.reservedFor());
        assertFalse(reservation.isBackfillAllowed());
        reservation.refresh(10);
        assertNull(reservation.reservedFor());
    }

    @Test
    void strictReservationEndsWhenItsJobHasNoTasksToPlace() {
        job.requestCancel();
        reservation.reserve(job, 10);
        reservation.refresh(1);
        assertNull(reservation.reservedFor());
    }

    @Test
    void reservationAllowingBackfillEndsInEachSchedulingRound() {
        reservation.reserveAllowingBackfill(job, 100);
        assertTrue(reservation.isBackfillAllowed());
        reservation.refresh(0);
        assertNull(reservation.reservedFor());
        assertFalse(reservation.isBackfillAllowed());
    }

    @Test
    void jobMayBackfillIfItEndsBeforeReservationStarts() {
        double startsAt = 100;
        reservation.reserveAllowingBackfill(job, startsAt);
        double latestStart = startsAt - job.spec.estimatedSeconds();
        assertTrue(reservation.mayBackfill(job, latestStart));
        assertFalse(reservation.mayBackfill(job, latestStart + 1));
        assertFalse(reservation.mayBackfill(job(Shape.SERVICE), 0), "a service does not end");
    }
}
