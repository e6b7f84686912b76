package io.kitepath.core.state;

import java.util.Optional;

/** Keys and prefixes of the records in the state service. They are part of the stored format. */
public final class StoreKeys {
    /** The highest fencing token ever issued; never removed. */
    public static final String FENCING_TOKEN = "kitepath/token";

    /** The node that is the leader; attached to its lease. */
    public static final String LEADER = "kitepath/leader";

    /** The shards of machines and the leader of each; attached to the leader's lease. */
    public static final String SHARDS = "kitepath/blocks/";

    /** The machine types that the cloud offers, as last read. */
    public static final String INSTANCE_TYPES = "kitepath/types";

    /** The images on each machine, in a few records; see {@link ImageRecords}. */
    public static final String IMAGES = "kitepath/images/";

    /** Requests to the cloud, and their results until the shard's leader has processed them. */
    public static final String CLOUD_INTENTS = "kitepath/act/";

    /**
     * Machines to be rented, by the name of the request, and the ids of the rented machines until
     * all nodes can see them.
     */
    public static final String RENTAL_INTENTS = CLOUD_INTENTS + "rent/";

    /** Machines to be released, by request; no more tasks are placed on them. */
    public static final String RELEASE_INTENTS = CLOUD_INTENTS + "going/";

    /** The role holder of each role; attached to its lease. */
    public static final String ROLES = "kitepath/duty/";

    /** The highest fencing token ever issued for each role; never removed. */
    public static final String ROLE_FENCING_TOKENS = "kitepath/duty-token/";

    /** Service levels (start goals met), by class and team, for the next leader. */
    public static final String SERVICE_LEVELS = "kitepath/served";

    /**
     * The record layout of the deployment, written once by the first leader whose version supports
     * it.
     */
    public static final String LAYOUT = "kitepath/layout";

    /** Accepted jobs that are neither done nor cancelled. */
    public static final String OPEN_JOBS = "jobs/open/";

    /** Jobs that are done or cancelled, kept permanently. */
    public static final String ENDED_JOBS = "jobs/over/";

    /** Tasks that are done and attempts on machines, by job and slice of its tasks. */
    public static final String JOB_PARTS = "jobs/part/";

    /** Tasks of a job that are lent to other cells. */
    public static final String LENT_TASKS = "jobs/lent/";

    /** Tasks that other cells have lent to this one, by home cell and loan number. */
    public static final String BORROWED_TASKS = "jobs/guest/";

    /** Cancellation requests for jobs with tasks lent to other cells. */
    public static final String CANCELLATION_REQUESTS = "jobs/leave/";

    /** Numbers of loans that can no longer be accepted, by home cell. */
    public static final String VOIDED_NUMBERS = "kitepath/void/";

    /**
     * Shares of each team's quota that this cell received and gave away, by a hash of the team's
     * name.
     */
    public static final String QUOTA_SHARES = "kitepath/share/";

    /** The home assignments and the version of the cells file that this cell uses. */
    public static final String CELLS = "kitepath/cells";

    private StoreKeys() {}

    /** Returns the key of the tasks that a home cell lent to this one under a loan number. */
    public static String borrowedTasksKey(String homeCell, long loanNumber) {
        return BORROWED_TASKS + homeCell + "/" + String.format("%020d", loanNumber);
    }

    /** Returns the key of a part of a job. */
    public static String partKey(String jobId, int part) {
        return JOB_PARTS + jobId + "/" + part;
    }

    /** Returns the id of the job whose part has the key; empty if it is not the key of a part. */
    public static Optional<String> findJobIdOfPart(String key) {
        return key.matches(JOB_PARTS + "[^/]+/[0-9]{1,9}")
                ? Optional.of(jobIdOfPart(key))
                : Optional.empty();
    }

    /** Returns the id of the job whose part has the key, which must be the key of a part. */
    static String jobIdOfPart(String partKey) {
        return partKey.substring(JOB_PARTS.length(), partKey.lastIndexOf('/'));
    }

    /** Returns the index of the part that has the key, which must be the key of a part. */
    static int indexOfPart(String partKey) {
        return Integer.parseInt(partKey.substring(partKey.lastIndexOf('/') + 1));
    }
}
