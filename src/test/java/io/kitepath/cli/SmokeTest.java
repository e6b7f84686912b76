package io.kitepath.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A node on real loopback sockets, against stand-ins. */
class SmokeTest {
    @Test
    void aNodeServesUsersWorkersAndOperators() throws Exception {
        ArchiveTraining t = new ArchiveTraining();
        t.start();
        List<Integer> statuses = t.play();
        assertEquals(List.of(201, 200, 404, 200), statuses.subList(0, 4));
        assertEquals(List.of(200, 200, 200, 200, 200, 200), statuses.subList(4, 10));
        assertEquals(List.of(200, 400, 200, 404), statuses.subList(10, 14));
    }
}
