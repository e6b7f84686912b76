package io.kitepath.core.lead;

import io.kitepath.core.model.Facts;
import io.kitepath.core.model.Tree;
import io.kitepath.core.port.Store;
import io.kitepath.core.port.Store.Outcome;
import io.kitepath.core.port.Store.Transaction;
import io.kitepath.core.port.Timers;
import io.kitepath.core.state.Keys;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who leads, and with which token. The leader's key and its block hang on a lease; taking them raises the
 * stored token in the same transaction, so two nodes never hold the same one. What a former leader may still
 * send to the store fails, because its writes depend on the revision of a key that is gone.
 */
public final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    public interface Listener {
        void won(long token, long lease, long blockRevision);

        void lost(String why);

        /** Another node leads, for all we know. */
        void follows(String leader);
    }

    private final Facts facts;
    private final Store store;
    private final Timers timers;
    private final Random random;
    private final Listener listener;
    private final double lifeS;
    private boolean leading;
    private long token;
    private long lease;
    private long revision;
    private double renewedAt;
    /** Who leads by the last that we heard, or null. */
    private String leader;
    private long highest;
    private boolean campaigning;
    /** When the store last answered us. */
    private double servedAt;

    public Leadership(Facts facts, Store store, Timers timers, Random random, Listener listener) {
        this.facts = facts;
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.listener = listener;
        // Short against the workers' lease, so that a new leader is there well before their work is given up.
        this.lifeS = Math.max(2, facts.workers().reportS());
        this.servedAt = timers.now();
    }

    public void start() {
        look();
    }

    public boolean leading() {
        return leading;
    }

    public String leader() {
        return leader;
    }

    public double lifeS() {
        return lifeS;
    }

    public long highest() {
        return highest;
    }

    /** Seconds since the store last answered us. */
    public double unservedS() {
        return timers.now() - servedAt;
    }

    /** While the store does not serve us, a leader starts nothing. */
    public boolean inTouch() {
        return timers.now() - renewedAt < lifeS;
    }

    /** A worker or sibling has seen a higher token than ours: somebody else leads. */
    public void outbid(long seen, String by) {
        if (seen > highest) {
            highest = seen;
            if (by != null && !leading) {
                follows(by);
            }
        }
        if (leading && seen > token) {
            stepDown("a higher token " + seen + " was seen");
        }
    }

    public long token() {
        return token;
    }

    public void stepDown(String why) {
        if (!leading) {
            return;
        }
        leading = false;
        leader = null;
        LOG.info("no longer leader with token {}: {}", token, why);
        listener.lost(why);
    }

    // ---- following the leader's key -------------------------------------------------------------

    private void look() {
        store.get(Keys.LEADER, (outcome, entry) -> {
            if (outcome == Outcome.OK) {
                served();
                heard(entry.value());
                follow(entry.revision());
            } else if (outcome == Outcome.NO) {
                served();
                absent();
            } else {
                timers.after(retryS(), this::look);
            }
        });
    }

    private void follow(long from) {
        long holdMs = (long) (lifeS * 500);
        store.follow(Keys.LEADER, from, holdMs, c -> {
            // An empty answer proves nothing: a node that the store refuses waits on its watches all the same. A
            // plain read tells whether we are served.
            if (c.outcome() == Outcome.OK) {
                look();
            } else {
                timers.after(retryS(), this::look);
            }
        });
    }

    private void heard(Object value) {
        Tree t = Tree.of(value);
        long held = t.count("token");
        String node = t.text("node");
        highest = Math.max(highest, held);
        if (leading && held == token) {
            leader = facts.node();
            return;
        }
        if (leading) {
            if (held > token) {
                stepDown(node + " leads with token " + held);
            }
        }
        follows(node);
    }

    private void follows(String node) {
        boolean news = !node.equals(leader);
        leader = node;
        if (news) {
            LOG.debug("{} leads with token {}", node, highest);
            listener.follows(node);
        }
    }

    private void absent() {
        if (leading) {
            stepDown("our key is gone");
        }
        leader = null;
        timers.after(random.nextDouble() * 0.1, this::campaign);
    }

    private double retryS() {
        return 0.2 + random.nextDouble() * 0.3;
    }

    private void served() {
        servedAt = timers.now();
    }

    // ---- taking and keeping the lease -----------------------------------------------------------

    private void campaign() {
        if (leading || campaigning) {
            return;
        }
        campaigning = true;
        double asked = timers.now();
        store.grant((long) (lifeS * 1000), (outcome, id) -> {
            if (outcome != Outcome.OK) {
                campaigning = false;
                timers.after(retryS(), this::look);
                return;
            }
            store.get(Keys.TOKEN, (got, entry) -> {
                if (got != Outcome.OK && got != Outcome.NO) {
                    campaigning = false;
                    timers.after(retryS(), this::look);
                    return;
                }
                long last = got == Outcome.OK ? Tree.of(entry.value()).count("token") : 0;
                claim(id, Math.max(last, highest) + 1, got == Outcome.OK ? entry.revision() : 0, asked);
            });
        });
    }

    private void claim(long id, long next, long tokenRevision, double asked) {
        Map<String, Object> key = new LinkedHashMap<>();
        key.put("node", facts.node());
        key.put("token", next);
        Map<String, Object> block = new LinkedHashMap<>();
        block.put("machines", "all");
        block.put("holder", facts.node());
        block.put("token", next);
        store.commit(new Transaction().when(Keys.LEADER, 0).when(Keys.TOKEN, tokenRevision)
                .put(Keys.LEADER, key, id).put(Keys.BLOCKS + "all", block, id)
                .put(Keys.TOKEN, Map.of("token", next)), c -> {
            campaigning = false;
            if (c.outcome() == Outcome.OK) {
                served();
                leading = true;
                lease = id;
                token = next;
                highest = Math.max(highest, next);
                revision = c.revision();
                renewedAt = asked;
                leader = facts.node();
                LOG.info("leader with token {} on lease {}", next, id);
                listener.won(next, id, revision);
                renewLater(id);
                follow(revision);
            } else {
                // After an unknown outcome the key may be ours with nobody behind it; ending the lease removes it.
                store.revoke(id);
                timers.after(retryS(), this::look);
            }
        });
    }

    private void renewLater(long id) {
        timers.after(lifeS / 5, () -> {
            if (!leading || lease != id) {
                return;
            }
            double asked = timers.now();
            store.renew(id, outcome -> {
                if (!leading || lease != id) {
                    return;
                }
                if (outcome == Outcome.OK) {
                    served();
                    renewedAt = asked;
                } else if (outcome == Outcome.NO) {
                    stepDown("our lease ended");
                    return;
                }
                renewLater(id);
            });
        });
    }
}
