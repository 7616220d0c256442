package org.geraniumford.core.weights;

/**
 * The versions that a write of the lease's row expects. A row that was removed has version 0 again, like one that never
 * existed; the version of the last write tells them apart.
 *
 * @param row the version of the row; 0 if it does not exist
 * @param written the version of the last write of the row by this program; 0 if there was none
 */
public record LeaseVersions(long row, long written) {}
