package io.kitepath.core.shard;

import java.util.Collections;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Estimates which container images a machine has cached, and which it is fetching. This is only an
 * estimate, because the agent does not report its cache.
 */
final class MachineImages {
    /** Sizes in GB by image, the least recently used first. */
    private final Map<String, Double> cachedGigabytes = new LinkedHashMap<>(16, 0.75f, true);

    /** The machine's attempts, owned by {@link PlacedWork}. */
    private final List<Attempt> attempts;

    /** Valid only while {@link #isFetchingKnown}. */
    private final Set<String> fetching = new HashSet<>();

    private boolean isFetchingKnown;

    MachineImages(List<Attempt> attempts) {
        this.attempts = attempts;
    }

    boolean has(String image) {
        return cachedGigabytes.containsKey(image);
    }

    /**
     * Whether the machine is probably fetching that image, for an attempt that was placed on it.
     */
    boolean isFetching(String image) {
        return fetching().contains(image);
    }

    /** Whether the machine is probably fetching any image. */
    boolean isFetchingAny() {
        return !fetching().isEmpty();
    }

    private Set<String> fetching() {
        if (!isFetchingKnown) {
            fetching.clear();
            for (Attempt attempt : attempts) {
                if (attempt.isFetching() && !has(attempt.job.spec.image())) {
                    fetching.add(attempt.job.spec.image());
                }
            }
            isFetchingKnown = true;
        }
        return fetching;
    }

    /**
     * Discards the derived set of images being fetched, after an attempt on the machine was added,
     * removed or changed its state.
     */
    void invalidateFetching() {
        isFetchingKnown = false;
    }

    /**
     * Adds an image that an earlier leader recorded; does not replace one that this leader
     * observed.
     */
    void restore(String image, double sizeGigabytes) {
        cachedGigabytes.putIfAbsent(image, sizeGigabytes);
    }

    /** Unmodifiable view: sizes in GB by image, the least recently used first. */
    Map<String, Double> cachedGigabytes() {
        return Collections.unmodifiableMap(cachedGigabytes);
    }

    /**
     * Records that a task with this image runs on the machine, which caches the most recently used
     * images. Evicts the least recently used ones while the cache is over its size.
     */
    void recordUse(String image, double sizeGigabytes, double cacheGigabytes) {
        invalidateFetching();
        cachedGigabytes.put(image, sizeGigabytes);
        double sumGigabytes = 0;
        for (double size : cachedGigabytes.values()) {
            sumGigabytes += size;
        }
        Iterator<Double> oldest = cachedGigabytes.values().iterator();
        while (sumGigabytes > cacheGigabytes && cachedGigabytes.size() > 1) {
            sumGigabytes -= oldest.next();
            oldest.remove();
        }
    }
}
