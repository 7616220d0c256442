package org.geraniumford.core.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against a group whose members under one configuration share segments with others under another one. */
final class SharingGroupTest {
    private static final List<String> CUSTOMERS = List.of("a", "b", "a b", "shared", "", "\u1266", "\u12e8");

    private static RoutingTable table(Set<String> isolated) {
        List<ApiCustomer> customers = CUSTOMERS.stream()
                .map(name -> new ApiCustomer(
                        name, List.of(), OptionalInt.empty(), isolated.contains(name), Optional.empty()))
                .toList();
        return RoutingTable.of(1, List.of(), List.of(), customers, CallerLimits.DEFAULT);
    }

    /** Returns the customers that the set of indices names. */
    private static Set<String> named(Set<Integer> indices) {
        return Set.copyOf(indices.stream()
                .map(index -> CUSTOMERS.get(Math.floorMod(index, CUSTOMERS.size())))
                .distinct()
                .toList());
    }

    @Property(tries = 1000)
    void shouldGiveTwoCustomersTheSameGroupOnlyWhenNeitherIsIsolatedUnderEitherConfiguration(
            @ForAll @Size(max = 4) Set<Integer> first, @ForAll @Size(max = 4) Set<Integer> second) {
        Set<String> firstIsolated = named(first);
        Set<String> secondIsolated = named(second);
        RoutingTable firstTable = table(firstIsolated);
        RoutingTable secondTable = table(secondIsolated);
        for (String maker : CUSTOMERS) {
            for (String user : CUSTOMERS) {
                boolean shares =
                        firstTable.sharingGroup(Optional.of(maker)).equals(secondTable.sharingGroup(Optional.of(user)));
                boolean isolated = Stream.of(maker, user)
                        .anyMatch(name -> firstIsolated.contains(name) || secondIsolated.contains(name));
                assertThat(shares && isolated && !maker.equals(user)).isFalse();
            }
        }
    }

    @Test
    void shouldLetCustomersGoOnSharingWhenAConfigurationIsolatesNobodyElse() {
        SharingGroup group = table(Set.of("a")).sharingGroup(Optional.of("b"));
        assertThat(table(Set.of("a")).sharingGroup(Optional.of("\u1266"))).isEqualTo(group);
        assertThat(table(Set.of("a")).sharingGroup(Optional.empty())).isEqualTo(group);
        assertThat(table(Set.of()).sharingGroup(Optional.of("b"))).isNotEqualTo(group);
    }
}
