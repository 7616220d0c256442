package org.geraniumford.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumford.daemon.operator.OperatorSource;
import org.geraniumford.daemon.operator.ProcessStatus;

/** What an entry tells its operators. */
final class EntryOperator implements OperatorSource {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .build();

    private final EntryDaemon daemon;

    EntryOperator(EntryDaemon daemon) {
        this.daemon = daemon;
    }

    // -- queries

    @Override
    public boolean ready() {
        return daemon.ready();
    }

    @Override
    public ProcessStatus status() {
        return daemon.status();
    }

    @Override
    public Optional<String> explain(String requestId) {
        return daemon.records().find(requestId).map(EntryOperator::json);
    }

    private static String json(ExplainRecords.Entry entry) {
        try {
            return MAPPER.writeValueAsString(entry);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of plain values can be written", e);
        }
    }

    // -- commands

    @Override
    public CompletableFuture<Void> drain() {
        return daemon.drain();
    }
}
