package org.geraniumford.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;

final class SettingsPageTest {
    private static final Path PAGE = Path.of("..", "docs", "SETTINGS.md");

    @Test
    void shouldEqualThePageInTheDocumentsWhenRendered() {
        assertThat(PAGE).hasContent(SettingsPage.render());
    }
}
