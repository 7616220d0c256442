package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import org.geraniumford.core.text.AsciiToken;

/**
 * The customers that may share cached prompt segments with each other: one isolated customer alone, or all others.
 *
 * @param name an ASCII name, the same at every entry; two groups with the same name have the same members
 */
public record SharingGroup(String name) {
    private static final String ISOLATED_PREFIX = "customer/";
    private static final SharingGroup SHARED = new SharingGroup("shared");

    /** Checks the component. */
    public SharingGroup {
        requireNonNull(name, "name is null");
    }

    // -- construction

    /**
     * Returns the group of all customers that are not isolated.
     *
     * @return the group
     */
    public static SharingGroup shared() {
        return SHARED;
    }

    /**
     * Returns the group of an isolated customer.
     *
     * @param customer the customer's name
     * @return a group that has no other member
     */
    public static SharingGroup ofIsolated(String customer) {
        return new SharingGroup(ISOLATED_PREFIX + AsciiToken.of(customer));
    }
}
