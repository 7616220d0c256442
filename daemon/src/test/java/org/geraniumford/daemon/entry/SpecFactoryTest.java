package org.geraniumford.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.geraniumford.core.request.RequestSpec;
import org.geraniumford.core.verdict.RefusalException;
import org.geraniumford.core.wire.AttemptId;
import org.geraniumford.core.wire.Envelope;
import org.geraniumford.core.wire.Message;
import org.geraniumford.transport.link.FrameCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against prompts that are accepted although their submit message exceeds the largest frame of a link. */
final class SpecFactoryTest {
    private static final int PROMPT_BYTES = 2 * 1024 * 1024;

    @Test
    void shouldRefuseThePromptWhenItsSubmitMessageExceedsOneFrame() {
        assertThatThrownBy(() -> spec(1, "x".repeat(PROMPT_BYTES)))
                .isInstanceOf(RefusalException.class)
                .hasMessageContaining("body_too_large");
    }

    @ParameterizedTest
    @ValueSource(strings = {"x", "\u00e9", "\u1200", "\ud83d\ude00"})
    void shouldEncodeTheSubmitMessageInOneFrameWhenCharactersTakeOneToFourBytes(String character) throws IOException {
        int bytesPerCharacter = character.getBytes(StandardCharsets.UTF_8).length;
        RequestSpec spec = spec(4, character.repeat(PROMPT_BYTES / bytesPerCharacter));
        Message.Submit submit = new Message.Submit(
                new AttemptId(spec.requestId(), 1),
                spec.modelVersion(),
                spec.scope(),
                "batch",
                0,
                1,
                0,
                0,
                spec.chain().blocks(),
                spec.prompt(),
                1,
                0,
                1);
        assertThat(FrameCodec.encode(new Envelope(1, 1, 1, submit))).isNotEmpty();
    }

    private static RequestSpec spec(int blockTokens, String prompt) {
        AuthenticatedRequest incoming = EntryFixture.modelRequest();
        CallerRequest body = new CallerRequest("drafts", List.of(prompt), OptionalInt.empty(), false, Optional.empty());
        return new SpecFactory("kigali-a", blockTokens).create(incoming, body, 1);
    }
}
