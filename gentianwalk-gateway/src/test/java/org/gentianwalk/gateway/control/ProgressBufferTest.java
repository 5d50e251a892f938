package org.gentianwalk.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.gentianwalk.core.dispatch.Progress;
import org.junit.jupiter.api.Test;

/** Guards against output that is lost in the buffer or counted for another attempt. */
class ProgressBufferTest {
    private final ProgressBuffer mBuffer = new ProgressBuffer();

    @Test
    void outputOfOneAttemptIsAddedUpAndKeepsItsLongestPause() {
        mBuffer.add(1, 1, new Progress(1, 100, 0));
        mBuffer.add(1, 1, new Progress(1, 300, 200));
        mBuffer.add(1, 1, new Progress(1, 350, 50));

        assertThat(drained()).containsExactly("1/1 " + new Progress(3, 350, 200));
        assertThat(drained()).isEmpty();
    }

    @Test
    void outputOfALaterAttemptReplacesThatOfAnEarlierOne() {
        mBuffer.add(1, 1, new Progress(5, 100, 90));
        mBuffer.add(1, 2, new Progress(1, 300, 0));

        assertThat(drained()).containsExactly("1/2 " + new Progress(1, 300, 0));
    }

    @Test
    void outputOfAnEndedRequestIsRemoved() {
        mBuffer.add(1, 1, new Progress(5, 100, 90));
        mBuffer.remove(1);

        assertThat(drained()).isEmpty();
    }

    private List<String> drained() {
        List<String> drained = new ArrayList<>();
        mBuffer.drain(
                (work, attempt, progress) -> drained.add(work + "/" + attempt + " " + progress));
        return drained;
    }
}
