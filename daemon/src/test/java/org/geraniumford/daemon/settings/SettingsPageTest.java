package org.geraniumford.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Guards against a docs/SETTINGS.md that does not follow a change of the settings or their descriptions. */
final class SettingsPageTest {
    private static final Path PAGE = Path.of("..", "docs", "SETTINGS.md");

    @Test
    void shouldEqualThePageInDocsWhenRendered() {
        assertThat(PAGE).hasContent(SettingsPage.render());
    }
}
