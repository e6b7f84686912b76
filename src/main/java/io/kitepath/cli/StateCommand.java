package io.kitepath.cli;

import io.kitepath.core.role.OrphanScan;
import io.kitepath.net.HttpClient;
import io.kitepath.net.LoopTimers;
import io.kitepath.store.HttpStore;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Looks at a state service from outside, without a node. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description = "Looks at what a state service holds.",
        subcommands = StateCommand.SweepCommand.class)
final class StateCommand implements Callable<Integer> {
    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return 2;
    }

    /** Looks for records that nothing refers to, and removes them unless it is a dry run. */
    @Command(
            name = "sweep",
            mixinStandardHelpOptions = true,
            description = {
                "Lists what the nodes' clean-up would remove, and what should not be there.",
                "Writes nothing. Exits 1 if something should not be there."
            })
    static final class SweepCommand implements Callable<Integer> {
        private static final int MAX_ANSWER = 2 * 1024 * 1024;
        private static final long TIMEOUT_MS = 2000;
        private static final int TRIES = 20;

        @Option(
                names = "--dry-run",
                required = true,
                description = "Only this: removing is the nodes' duty.")
        boolean dryRun;

        @Option(
                names = "--conditions",
                description = "How many conditions a transaction may have; ${DEFAULT-VALUE}.")
        int conditions = 100;

        @Parameters(paramLabel = "HOST:PORT", description = "The state service.")
        String address;

        private int rubbish;
        private int strange;
        private int tries;

        @Override
        public Integer call() throws Exception {
            int colon = address.lastIndexOf(':');
            if (colon < 1
                    || !address.substring(colon + 1).matches("[0-9]{1,5}")
                    || conditions < 1) {
                System.err.println(
                        "kitepath: HOST:PORT and a positive number of conditions are needed");
                return 2;
            }
            InetSocketAddress at =
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1)));
            NioEventLoopGroup group = new NioEventLoopGroup(1);
            try {
                EventLoop loop = group.next();
                HttpClient http = new HttpClient(loop, at, 1, MAX_ANSWER);
                OrphanScan scan =
                        new OrphanScan(
                                new HttpStore(http, http, http, TIMEOUT_MS),
                                conditions,
                                this::show);
                CompletableFuture<Boolean> over = new CompletableFuture<>();
                loop.execute(() -> next(scan, new LoopTimers(loop), over));
                if (!over.get(1, TimeUnit.HOURS)) {
                    System.err.println(
                            "kitepath: the state service at " + address + " does not answer");
                    return 1;
                }
                System.out.println(
                        scan.recordsSeen()
                                + " records: "
                                + rubbish
                                + " would be removed, "
                                + strange
                                + " should not be there");
                return strange == 0 ? 0 : 1;
            } finally {
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            }
        }

        private void next(OrphanScan scan, LoopTimers timers, CompletableFuture<Boolean> over) {
            scan.step(
                    () -> {
                        tries = scan.hasLastStepFailed() ? tries + 1 : 0;
                        if (scan.isComplete() || tries > TRIES) {
                            over.complete(scan.isComplete());
                        } else {
                            timers.schedule(0.05 * (1 + tries), () -> next(scan, timers, over));
                        }
                    });
        }

        private void show(OrphanScan.Finding finding) {
            rubbish += finding.isRemovable() ? 1 : 0;
            strange += finding.isRemovable() ? 0 : 1;
            System.out.println(
                    (finding.isRemovable() ? "remove  " : "strange ")
                            + finding.key()
                            + ": "
                            + finding.reason());
        }
    }
}
