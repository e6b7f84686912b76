package io.kitepath.core.state;

/** Where things are kept in the state service. */
public final class StoreKeys {
    /** Highest token ever given out; never removed. */
    public static final String FENCING_TOKEN = "kitepath/token";

    /** Who leads; hangs on the leader's lease. */
    public static final String LEADER = "kitepath/leader";

    /** The blocks of machines and who holds each; hang on the holder's lease. */
    public static final String SHARDS = "kitepath/blocks/";

    public static final String INSTANCE_TYPES = "kitepath/types";

    /** Which machines have which images, in a few records. */
    public static final String IMAGES = "kitepath/images/";

    /** What is asked of the cloud, and what came of it until the block's holder has taken it in. */
    public static final String CLOUD_INTENTS = "kitepath/act/";

    /**
     * Machines that are to be rented, by the request's name, and which they are until all can see
     * them.
     */
    public static final String RENTAL_INTENTS = CLOUD_INTENTS + "rent/";

    /** Machines that are given back, by request: nothing is placed on them any more. */
    public static final String RELEASE_INTENTS = CLOUD_INTENTS + "going/";

    /** Who has which duty; on that node's lease. */
    public static final String ROLES = "kitepath/duty/";

    /** The highest token ever given out for each duty; never removed. */
    public static final String ROLE_FENCING_TOKENS = "kitepath/duty-token/";

    /** What was served in time, by class and team, for the next holder. */
    public static final String SERVICE_LEVELS = "kitepath/served";

    /**
     * How the records of the deployment are laid out, written once, by the first holder that knew
     * of it.
     */
    public static final String LAYOUT = "kitepath/layout";

    /** Jobs that are accepted and neither done nor cancelled. */
    public static final String OPEN_JOBS = "jobs/open/";

    /** Jobs that are over, kept for ever. */
    public static final String ENDED_JOBS = "jobs/over/";

    /** What is done and what is on machines, by job and slice of its tasks. */
    public static final String JOB_PARTS = "jobs/part/";

    /** Which tasks of a job are lent to other cells. */
    public static final String LENT_TASKS = "jobs/lent/";

    /** What other cells have lent to this one, by home and number. */
    public static final String BORROWED_TASKS = "jobs/guest/";

    /** Jobs with tasks lent to other cells that their users asked to cancel. */
    public static final String CANCELLATION_REQUESTS = "jobs/leave/";

    /** Which numbers of another cell can never be taken any more, by home. */
    public static final String VOIDED_NUMBERS = "kitepath/void/";

    /**
     * What came to this cell of each team's limit, and what of it went, by a hash of the team's
     * name.
     */
    public static final String QUOTA_SHARES = "kitepath/share/";

    /** By which cells file this cell goes. */
    public static final String CELLS = "kitepath/cells";

    private StoreKeys() {}

    public static String borrowedTasksKey(String home, long number) {
        return BORROWED_TASKS + home + "/" + String.format("%020d", number);
    }

    public static String partKey(String jobId, int part) {
        return JOB_PARTS + jobId + "/" + part;
    }

    /** The job whose part that is the key of, or null if it is none. */
    public static String findJobOfPart(String partKey) {
        return partKey.matches(JOB_PARTS + "[^/]+/[0-9]{1,9}") ? jobOfPart(partKey) : null;
    }

    static String jobOfPart(String partKey) {
        return partKey.substring(JOB_PARTS.length(), partKey.lastIndexOf('/'));
    }

    static int indexOfPart(String partKey) {
        return Integer.parseInt(partKey.substring(partKey.lastIndexOf('/') + 1));
    }
}
