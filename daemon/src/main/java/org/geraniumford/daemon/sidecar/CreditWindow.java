package org.geraniumford.daemon.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Message;

/** The tokens of a response that the engine has sent and the peer's credit does not cover yet. */
final class CreditWindow {
    private final AttemptId id;
    private final List<String> unsent = new ArrayList<>();
    private int sentOffset;
    private int creditOffset;

    private CreditWindow(AttemptId id, int offset, int creditOffset) {
        this.id = id;
        this.sentOffset = offset;
        this.creditOffset = creditOffset;
    }

    // -- construction

    static CreditWindow of(Message.Submit submit) {
        return new CreditWindow(submit.id(), submit.resumeOffset(), submit.resumeOffset() + submit.credit());
    }

    // -- commands

    /** Appends the next token; returns false if its offset is not the next one. */
    boolean add(int offset, String token) {
        if (offset != nextOffset()) {
            return false;
        }
        unsent.add(token);
        return true;
    }

    /** Extends the credit up to an offset, exclusive; a lower offset than before changes nothing. */
    void extendCredit(int upToOffset) {
        creditOffset = Math.max(creditOffset, upToOffset);
    }

    /** Removes and returns the tokens that the credit covers; empty if there are none. */
    Optional<Message.Chunk> takeSendable() {
        int count = Math.min(unsent.size(), creditOffset - sentOffset);
        if (count <= 0) {
            return Optional.empty();
        }
        List<String> covered = unsent.subList(0, count);
        Message.Chunk chunk = new Message.Chunk(id, sentOffset, covered);
        // The chunk has its own copy of the tokens; clearing the sublist removes them from the unsent ones.
        covered.clear();
        sentOffset += count;
        return Optional.of(chunk);
    }

    // -- queries

    /** Returns the offset that the engine's next token must have. */
    int nextOffset() {
        return sentOffset + unsent.size();
    }

    /** Returns whether every token that the engine has sent was taken by {@link #takeSendable}. */
    boolean isEmpty() {
        return unsent.isEmpty();
    }
}
