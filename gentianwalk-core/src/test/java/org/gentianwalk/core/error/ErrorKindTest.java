package org.gentianwalk.core.error;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ErrorKindTest {
    /** Guards against a category without a message, which would fail while an error is reported. */
    @ParameterizedTest
    @EnumSource(ErrorKind.class)
    void everyKindHasAMessage(ErrorKind kind) {
        assertThat(Messages.format(kind.messageKey(), "x", "y")).doesNotContain("{");
    }
}
