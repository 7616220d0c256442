package org.geraniumford.core.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Guards against versions that are taken for newer ones because a store gave out their numbers again. */
final class StoreVersionTest {
    @Test
    void shouldBeNewerInALaterEraWhateverItsNumber() {
        assertThat(new StoreVersion(1, 400).isOlderThan(new StoreVersion(2, 20)))
                .isTrue();
        assertThat(new StoreVersion(2, 20).isOlderThan(new StoreVersion(1, 400)))
                .isFalse();
        assertThat(new StoreVersion(2, 20).isOlderThan(new StoreVersion(2, 21))).isTrue();
    }

    @Test
    void shouldHaveItsOwnNumberAsOrdinalWhereTheStoreTellsNoEra() {
        assertThat(new StoreVersion(0, 41).ordinal()).isEqualTo(41);
    }

    @Test
    void shouldRejectWhatAnOrdinalCannotTellApart() {
        assertThatThrownBy(() -> new StoreVersion(1, StoreVersion.NUMBERS))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new StoreVersion(StoreVersion.ERAS, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new StoreVersion(0, -1)).isInstanceOf(IllegalArgumentException.class);
    }

    @Property
    void shouldHaveOrdinalsInItsOrder(
            @ForAll @LongRange(max = StoreVersion.ERAS - 1) long era,
            @ForAll @LongRange(max = StoreVersion.NUMBERS - 1) long number,
            @ForAll @LongRange(max = StoreVersion.ERAS - 1) long otherEra,
            @ForAll @LongRange(max = StoreVersion.NUMBERS - 1) long otherNumber) {
        StoreVersion version = new StoreVersion(era, number);
        StoreVersion other = new StoreVersion(otherEra, otherNumber);
        assertThat(StoreVersion.ofOrdinal(version.ordinal())).isEqualTo(version);
        assertThat(Long.compare(version.ordinal(), other.ordinal()))
                .isEqualTo(Integer.signum(version.compareTo(other)));
    }
}
