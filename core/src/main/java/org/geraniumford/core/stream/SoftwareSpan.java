package org.geraniumford.core.stream;

import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;

/**
 * The time in which servers of a service had a version of their software.
 *
 * @param service the name of the service
 * @param version the version
 * @param fromMillis when the first of the servers was seen, in milliseconds of the clock that all entries share
 * @param untilMillis when the last of them was missed; empty while there are some
 */
record SoftwareSpan(String service, String version, long fromMillis, OptionalLong untilMillis) {
    /** Checks the components. */
    SoftwareSpan {
        requireNonNull(service, "service is null");
        requireNonNull(version, "version is null");
        requireNonNull(untilMillis, "untilMillis is null");
    }

    // -- queries

    boolean isOpen() {
        return untilMillis.isEmpty();
    }

    /** Returns whether servers had the version at some time since then. */
    boolean lastsSince(long sinceMillis) {
        return isOpen() || untilMillis.getAsLong() >= sinceMillis;
    }

    // -- combinators

    SoftwareSpan endedAt(long millis) {
        return new SoftwareSpan(service, version, fromMillis, OptionalLong.of(millis));
    }

    SoftwareSpan reopened() {
        return new SoftwareSpan(service, version, fromMillis, OptionalLong.empty());
    }

    /** Returns one span that covers this one and another one of the same service and version. */
    SoftwareSpan joinedWith(SoftwareSpan other) {
        OptionalLong until = isOpen() || other.isOpen()
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(untilMillis.getAsLong(), other.untilMillis.getAsLong()));
        return new SoftwareSpan(service, version, Math.min(fromMillis, other.fromMillis), until);
    }
}
