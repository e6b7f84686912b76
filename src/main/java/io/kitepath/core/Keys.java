package io.kitepath.core;

/** Where things are kept in the state service. */
final class Keys {
    /** Highest token ever given out; never removed. */
    static final String TOKEN = "kitepath/token";
    /** Who leads; hangs on the leader's lease. */
    static final String LEADER = "kitepath/leader";
    /** The blocks of machines and who holds each; hang on the holder's lease. */
    static final String BLOCKS = "kitepath/blocks/";
    static final String TYPES = "kitepath/types";
    /** Which machines have which images, in a few records. */
    static final String IMAGES = "kitepath/images/";
    /** Jobs that are accepted and neither done nor cancelled. */
    static final String OPEN = "jobs/open/";
    /** Jobs that are over, kept for ever. */
    static final String OVER = "jobs/over/";
    /** What is done and what is on machines, by job and slice of its tasks. */
    static final String PART = "jobs/part/";

    private Keys() {}

    static String part(String job, int part) {
        return PART + job + "/" + part;
    }
}
