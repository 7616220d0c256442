package org.geraniumford.core.fleet;

import static java.util.Objects.requireNonNull;

import org.geraniumford.core.service.SharingGroup;
import org.geraniumford.core.text.AsciiToken;

/**
 * The scope within which cached prompt segments may be shared. Segments are never shared between versions of the
 * weights, nor between groups of customers.
 *
 * @param group the customers that may share the segments
 * @param weights the version of the weights, or a name that is unique to one engine
 */
public record SegmentScope(SharingGroup group, String weights) {
    private static final char SEPARATOR = '/';

    /** Checks the components. */
    public SegmentScope {
        requireNonNull(group, "group is null");
        requireNonNull(weights, "weights is null");
    }

    // -- queries

    /**
     * Returns the name under which engines and cache stores keep the segments.
     *
     * @return ASCII text that a header field can carry; two scopes with the same name are equal
     */
    public String name() {
        return group.name() + SEPARATOR + AsciiToken.of(weights);
    }
}
