package org.geraniumford.core.service;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumford.core.configuration.Sha256;
import org.geraniumford.core.text.AsciiToken;
import org.geraniumford.core.text.LineField;

/**
 * The customers that may share cached prompt segments with each other: one isolated customer alone, or all others.
 *
 * @param name an ASCII name, the same at every entry; two groups with the same name have the same members
 */
public record SharingGroup(String name) {
    private static final String ISOLATED_PREFIX = "customer/";
    private static final String SHARED = "shared";

    /** Precedes the digest of the names of the isolated customers. */
    private static final String WITHOUT = "-without-";

    private static final int DIGEST_LENGTH = 32;

    /** Checks the component. */
    public SharingGroup {
        requireNonNull(name, "name is null");
    }

    // -- construction

    /**
     * Returns the group of all customers that are not isolated. It is another one for each set of isolated customers,
     * so that a customer that becomes isolated leaves nothing to the others, without a message or state.
     *
     * @param isolated the names of the isolated customers
     * @return the group
     */
    public static SharingGroup ofAllExcept(Set<String> isolated) {
        if (isolated.isEmpty()) {
            return new SharingGroup(SHARED);
        }
        String names = isolated.stream().map(LineField::encode).sorted().collect(Collectors.joining(" "));
        return new SharingGroup(SHARED + WITHOUT + Sha256.hex(names).substring(0, DIGEST_LENGTH));
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
