package org.geraniumford.core.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

final class RoutingTableTest {
    private static Route route(String name, String host, String pathPrefix) {
        return new Route(
                name,
                host,
                pathPrefix,
                RouteKind.SAFE,
                false,
                false,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                1,
                1,
                List.of(new WeightedService("service-a", 1)));
    }

    private static ServiceDefinition cacheStore(String name, String address) {
        return new ServiceDefinition(name, 10, Optional.empty(), Optional.of(new CacheStore(address, "domain-1")));
    }

    private static final RoutingTable TABLE = RoutingTable.of(
            7,
            List.of(
                    route("short", "a.example", "/x/"),
                    route("long", "a.example", "/x/y/"),
                    route("b", "b.example", "/")),
            List.of(cacheStore("store-b", "10.0.0.2:80"), cacheStore("store-a", "10.0.0.1:80")),
            List.of(new ApiCustomer(
                    "customer-1", List.of("key-1", "key-2"), OptionalInt.empty(), true, Optional.empty())),
            CallerLimits.DEFAULT);

    @Test
    void shouldReturnTheRouteWithTheLongestPrefixWhenSeveralMatch() {
        assertThat(TABLE.route("a.example", "/x/y/z").map(Route::name)).contains("long");
        assertThat(TABLE.route("a.example", "/x/z").map(Route::name)).contains("short");
    }

    @Test
    void shouldReturnNoRouteWhenHostOrPrefixDiffers() {
        assertThat(TABLE.route("c.example", "/x/y/")).isEmpty();
        assertThat(TABLE.route("a.example", "/y/")).isEmpty();
        assertThat(TABLE.route("a.example", "/x")).isEmpty();
    }

    @Test
    void shouldIgnoreThePortAndTheCaseOfTheHost() {
        assertThat(TABLE.route("A.Example:8080", "/x/").map(Route::name)).contains("short");
    }

    @Test
    void shouldReturnTheCustomerOfAnApiKey() {
        assertThat(TABLE.customer("key-2").map(ApiCustomer::name)).contains("customer-1");
        assertThat(TABLE.customer("key-3")).isEmpty();
    }

    @Test
    void shouldReturnEveryCacheStoreOrderedByAddress() {
        assertThat(TABLE.cacheStores()).extracting(CacheStore::address).containsExactly("10.0.0.1:80", "10.0.0.2:80");
    }

    @Test
    void shouldPickServicesByTheirWeights() {
        Route split = new Route(
                "split",
                "a.example",
                "/",
                RouteKind.SAFE,
                false,
                false,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                1,
                1,
                List.of(new WeightedService("a", 90), new WeightedService("b", 10), new WeightedService("c", 0)));
        assertThat(split.pickService(0)).isEqualTo("a");
        assertThat(split.pickService(0.899)).isEqualTo("a");
        assertThat(split.pickService(0.901)).isEqualTo("b");
        assertThat(split.pickService(0.9999)).isEqualTo("b");
    }
}
