package io.kitepath.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.kitepath.cloud.HttpCloud;
import io.kitepath.core.model.Heartbeat;
import io.kitepath.core.model.MachineKind;
import io.kitepath.core.port.Cloud;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.net.HttpClient;
import io.kitepath.store.HttpStore;
import io.kitepath.wire.EmulatorCodec;
import io.kitepath.wire.MessagePackCodec;
import io.kitepath.wire.WorkerCodec;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The stand-ins behind sockets, asked through the very adapters that nodes use. */
class LoopbackEmulatorTest {
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final SimulatedCluster cluster = new SimulatedCluster();
    private HttpStore store;
    private HttpCloud cloud;

    @BeforeEach
    void start() {
        List<InetSocketAddress> at = new LoopbackEmulator(group, cluster, Map.of()).start();
        HttpClient calls = new HttpClient(loop, at.get(0), 4, 1 << 20);
        store = new HttpStore(calls, calls, calls, 2000);
        cloud = new HttpCloud(new HttpClient(loop, at.get(1), 2, 1 << 20), 2000);
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private <T> T on(Consumer<CompletableFuture<T>> ask) throws Exception {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.execute(() -> ask.accept(answer));
        return answer.get(10, TimeUnit.SECONDS);
    }

    @Test
    void theStateServiceKeepsItsProtocol() throws Exception {
        long lease =
                this.<Long>on(
                        future -> store.grantLease(5000, (outcome, id) -> future.complete(id)));
        assertEquals(
                Outcome.OK,
                on(
                        future ->
                                store.commit(
                                        new Transaction()
                                                .requireRevision("a/b", 0)
                                                .put("a/b", Map.of("x", 1L), lease)
                                                .put("a/c", Map.of("y", "z")),
                                        result -> future.complete(result.outcome()))));
        assertEquals(
                List.of("a/b"),
                on(
                        future ->
                                store.commit(
                                        new Transaction().requireRevision("a/b", 0).remove("a/c"),
                                        result -> future.complete(result.failedKeys()))));
        assertEquals(
                Map.of("x", 1L),
                on(future -> store.get("a/b", (outcome, entry) -> future.complete(entry.value()))));
        assertEquals(
                List.of("a/b", "a/c"),
                on(
                        future ->
                                store.list(
                                        "a/",
                                        "",
                                        10,
                                        listing ->
                                                future.complete(
                                                        listing.entries().stream()
                                                                .map(Store.Entry::key)
                                                                .toList()))));
        // Another's end of the lease is seen by whoever follows.
        CompletableFuture<Object> gone = new CompletableFuture<>();
        loop.execute(
                () ->
                        store.watch(
                                "a/b",
                                cluster.store.revision,
                                5000,
                                changes ->
                                        gone.complete(
                                                changes.events().get(0).key()
                                                        + changes.events().get(0).value())));
        loop.execute(() -> store.revokeLease(lease));
        assertEquals("a/bnull", gone.get(10, TimeUnit.SECONDS));
        assertEquals(Outcome.REJECTED, on(future -> store.renewLease(lease, future::complete)));
        assertTrue(
                this.<Boolean>on(
                        future ->
                                store.commit(
                                        new Transaction().put("a/d", Map.of(), lease),
                                        result -> future.complete(result.isLeaseExpired()))));
        cluster.store.unavailable = true;
        assertEquals(
                Outcome.NOT_EXECUTED,
                on(future -> store.get("a/c", (outcome, entry) -> future.complete(outcome))));
    }

    @Test
    void theCloudRentsOnceForANameAndListsWhatThereIs() throws Exception {
        cluster.cloud.capacity = 3;
        assertEquals(
                "m4",
                on(
                        future ->
                                cloud.listMachineTypes(
                                        (outcome, types) -> future.complete(types.get(0).name()))));
        MachineKind kind = new MachineKind("m4", "a", false);
        List<String> first =
                this.<List<String>>on(
                        future ->
                                cloud.rent(
                                        "r-1",
                                        kind,
                                        2,
                                        (outcome, names) -> future.complete(names)));
        assertEquals(
                first,
                on(
                        future ->
                                cloud.rent(
                                        "r-1",
                                        kind,
                                        2,
                                        (outcome, names) -> future.complete(names))));
        assertEquals(
                first,
                on(
                        future ->
                                cloud.listMachines(
                                        (outcome, all) ->
                                                future.complete(
                                                        all.stream()
                                                                .map(Cloud.ListedMachine::machineId)
                                                                .toList()))));
        assertEquals(Outcome.OK, on(future -> cloud.release(first, future::complete)));
        assertEquals(
                List.of(),
                on(future -> cloud.listMachines((outcome, all) -> future.complete(all))));
        cluster.cloud.capacity = 0;
        assertEquals(
                Outcome.REJECTED,
                on(
                        future ->
                                cloud.rent(
                                        "r-2",
                                        kind,
                                        2,
                                        (outcome, names) -> future.complete(outcome))));
    }

    @Test
    void whatAWorkerSaysIsReadAsItWasMeant() {
        Heartbeat heartbeat =
                new Heartbeat(
                        "i-1",
                        "127.0.0.1:9",
                        "m4",
                        "a",
                        true,
                        2,
                        7,
                        41,
                        3.5,
                        List.of(
                                new Heartbeat.TaskStatus(
                                        "j-1", 3, 2, Heartbeat.TaskState.RUNNING, null),
                                new Heartbeat.TaskStatus(
                                        "j-1",
                                        4,
                                        1,
                                        Heartbeat.TaskState.ENDED,
                                        Heartbeat.EndCause.INSUFFICIENT_RESOURCES)));
        assertEquals(
                heartbeat,
                WorkerCodec.decodeHeartbeat(
                        MessagePackCodec.decode(EmulatorCodec.encodeHeartbeat(heartbeat))));
    }
}
