package org.geraniumford.daemon.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TraceTest {
    private static final long SEED = 5;

    @Test
    void shouldGenerateEqualArrivalsOnlyWhenTheSeedIsEqual() {
        Scenario scenario = scenario("");
        assertThat(Trace.generate(scenario, SEED)).isEqualTo(Trace.generate(scenario, SEED));
        assertThat(Trace.generate(scenario, SEED)).isNotEqualTo(Trace.generate(scenario, SEED + 1));
    }

    @Test
    void shouldMatchRateAndSharesWhenTheRunIsLong() {
        Scenario scenario = scenario("[traffic]\nseconds = 2000\nrate = 20\n");
        List<Arrival> arrivals = Trace.generate(scenario, SEED);
        assertThat(arrivals.size()).isBetween(39_000, 41_000);
        double firstCustomerArrivals =
                arrivals.stream().filter(arrival -> arrival.customer() == 0).count();
        assertThat(firstCustomerArrivals / arrivals.size())
                .isBetween(scenario.share(0) - 0.01, scenario.share(0) + 0.01);
    }

    @Test
    void shouldChangeOnlyTheFloodingCustomersArrivalsWhenOneCustomerFloods() {
        Map<Boolean, List<Arrival>> withoutFlood = partitionByFlooder(scenario(""));
        Map<Boolean, List<Arrival>> withFlood = partitionByFlooder(scenario("[flood]\ncustomer = 1\nfactor = 10\n"));
        assertThat(withFlood.get(false)).isEqualTo(withoutFlood.get(false));
        assertThat(withFlood.get(true).size())
                .isGreaterThan(5 * withoutFlood.get(true).size());
    }

    @Test
    void shouldRequestAnotherDocumentWhenTheHotDocumentShifts() {
        Scenario scenario = scenario("[hot]\nshare = 1\nshift_seconds = 30\n[traffic]\nseconds = 60\n");
        Map<Boolean, List<String>> documentsByBeforeShift = Trace.generate(scenario, SEED).stream()
                .filter(arrival -> arrival.customer() == 0)
                .collect(Collectors.partitioningBy(
                        arrival -> arrival.atMicros() < 30_000_000L,
                        Collectors.mapping(arrival -> arrival.levels().get(2).name(), Collectors.toList())));
        assertThat(documentsByBeforeShift.get(true)).containsOnly("c0/g0/d0");
        assertThat(documentsByBeforeShift.get(false)).containsOnly("c0/g1/d0");
    }

    @Test
    void shouldShareBlockKeysOfEqualLevelsOnlyWhenTheCustomerIsTheSame() {
        PromptTexts texts = new PromptTexts();
        List<Arrival.Level> levels = List.of(new Arrival.Level("c0", 1600), new Arrival.Level("c0/q1", 200));
        assertThat(texts.blockKeys(new Arrival(0, 0, levels), 800)).hasSize(3);
        assertThat(texts.blockKeys(new Arrival(0, 0, levels), 800))
                .doesNotContainAnyElementsOf(texts.blockKeys(new Arrival(0, 1, levels), 800));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "rate = x       | s.ini:2: [traffic] rate",
                "rate = -1      | s.ini:2: [traffic] rate",
                "seconds = 1.5  | whole number",
                "sconds = 1     | unknown key",
            })
    void shouldNameFileLineAndKeyWhenAScenarioIsNotValid(String line, String expected) {
        byte[] bytes = ("[traffic]\n" + line + "\n").getBytes(StandardCharsets.UTF_8);
        assertThatThrownBy(() -> ScenarioReader.read("s.ini", bytes))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(expected);
    }

    @Test
    void shouldReturnFaultsInTheOrderOfTimeWhenTheFileListsThemInAnotherOrder() {
        Scenario scenario = scenario("[faults]\na = 30 store-outage 0 10\nb = 5 engine-crash 2 1000\n");
        assertThat(scenario.faults())
                .containsExactly(
                        new Scenario.Fault(5, FaultKind.ENGINE_CRASH, 2, 1000),
                        new Scenario.Fault(30, FaultKind.STORE_OUTAGE, 0, 10));
    }

    private static Map<Boolean, List<Arrival>> partitionByFlooder(Scenario scenario) {
        return Trace.generate(scenario, SEED).stream()
                .collect(Collectors.partitioningBy(arrival -> arrival.customer() == 1));
    }

    private static Scenario scenario(String text) {
        return ScenarioReader.read("s.ini", text.getBytes(StandardCharsets.UTF_8));
    }
}
