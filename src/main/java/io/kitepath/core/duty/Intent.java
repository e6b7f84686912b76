package io.kitepath.core.duty;

import java.util.Map;

/** An act outside the store that is on record before it is done. */
public abstract class Intent {
    final String key;
    /** Of its record; 0 while there is none. */
    private long revision;
    private boolean asking;

    Intent(String key) {
        this.key = key;
    }

    abstract Map<String, Object> record();

    /** Whether it is on record, so that it may be asked for. */
    public boolean recorded() {
        return revision > 0;
    }

    long revision() {
        return revision;
    }

    void recorded(long at) {
        revision = at;
    }

    /** Whether the cloud has been asked and has not answered. */
    public boolean asking() {
        return asking;
    }

    public void asking(boolean underWay) {
        asking = underWay;
    }
}
