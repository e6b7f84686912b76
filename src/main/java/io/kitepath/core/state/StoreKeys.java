package io.kitepath.core.state;

/** Keys and prefixes of the records in the state service. What they say is part of the format. */
public final class StoreKeys {
    /** The highest fencing token ever given out; never removed. */
    public static final String FENCING_TOKEN = "kitepath/token";

    /** Which node leads; on the leader's lease. */
    public static final String LEADER = "kitepath/leader";

    /** The shards of machines and which node leads each; on that node's lease. */
    public static final String SHARDS = "kitepath/blocks/";

    /** The machine types that the cloud offers, as they were read last. */
    public static final String INSTANCE_TYPES = "kitepath/types";

    /** Which machines have which images, in a few records; see {@link ImageRecords}. */
    public static final String IMAGES = "kitepath/images/";

    /** What is asked of the cloud, and what came of it until the shard's leader has seen it. */
    public static final String CLOUD_INTENTS = "kitepath/act/";

    /**
     * Machines to be rented, by the request's name, and which ones they are until all nodes can see
     * them.
     */
    public static final String RENTAL_INTENTS = CLOUD_INTENTS + "rent/";

    /** Machines that are given back, by request: nothing is placed on them any more. */
    public static final String RELEASE_INTENTS = CLOUD_INTENTS + "going/";

    /** Which node has which role; on that node's lease. */
    public static final String ROLES = "kitepath/duty/";

    /** The highest fencing token ever given out for each role; never removed. */
    public static final String ROLE_FENCING_TOKENS = "kitepath/duty-token/";

    /** What was served in time, by class and team, for the next leader. */
    public static final String SERVICE_LEVELS = "kitepath/served";

    /**
     * How the records of the deployment are laid out, written once, by the first leader of a
     * version that knew of it.
     */
    public static final String LAYOUT = "kitepath/layout";

    /** Jobs that are accepted and neither done nor cancelled. */
    public static final String OPEN_JOBS = "jobs/open/";

    /** Jobs that are done or cancelled, kept for ever. */
    public static final String ENDED_JOBS = "jobs/over/";

    /** What is done and what is on machines, by job and slice of its tasks. */
    public static final String JOB_PARTS = "jobs/part/";

    /** Which tasks of a job are lent to other cells. */
    public static final String LENT_TASKS = "jobs/lent/";

    /** What other cells have lent to this one, by home cell and number. */
    public static final String BORROWED_TASKS = "jobs/guest/";

    /** Jobs with tasks lent to other cells that their users asked to cancel. */
    public static final String CANCELLATION_REQUESTS = "jobs/leave/";

    /** Which numbers of another cell's loans can never be taken any more, by home cell. */
    public static final String VOIDED_NUMBERS = "kitepath/void/";

    /**
     * What came to this cell of each team's quota, and what of it went, by a hash of the team's
     * name.
     */
    public static final String QUOTA_SHARES = "kitepath/share/";

    /** The homes and version of the cells file that this cell goes by. */
    public static final String CELLS = "kitepath/cells";

    private StoreKeys() {}

    /** The key of what a home cell lent to this one under that number. */
    public static String borrowedTasksKey(String home, long number) {
        return BORROWED_TASKS + home + "/" + String.format("%020d", number);
    }

    /** The key of a part of a job. */
    public static String partKey(String jobId, int part) {
        return JOB_PARTS + jobId + "/" + part;
    }

    /** The job that the key is of a part of, or null if it is of something else. */
    public static String findJobOfPart(String key) {
        return key.matches(JOB_PARTS + "[^/]+/[0-9]{1,9}") ? jobOfPart(key) : null;
    }

    /** The job of a key that is known to be of a part. */
    static String jobOfPart(String partKey) {
        return partKey.substring(JOB_PARTS.length(), partKey.lastIndexOf('/'));
    }

    /** The index within the job of a key that is known to be of a part. */
    static int indexOfPart(String partKey) {
        return Integer.parseInt(partKey.substring(partKey.lastIndexOf('/') + 1));
    }
}
