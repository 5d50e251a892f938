package org.gentianwalk.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.gentianwalk.bench.capacity.LinearFit.Point;
import org.junit.jupiter.api.Test;

class LinearFitTest {
    /** Guards against a wrong slope, from which every capacity figure is derived. */
    @Test
    void findsLineThroughExactPoints() {
        LinearFit fit = LinearFit.of(List.of(new Point(1, 5), new Point(2, 7), new Point(4, 11)));

        assertThat(fit.intercept()).isCloseTo(3, within(1e-9));
        assertThat(fit.slope()).isCloseTo(2, within(1e-9));
        assertThat(fit.determination()).isCloseTo(1, within(1e-9));
        assertThat(fit.at(350)).isCloseTo(703, within(1e-9));
    }

    /** Guards against reporting a poor fit as a good one. */
    @Test
    void scatteredPointsLowerDetermination() {
        LinearFit fit = LinearFit.of(List.of(new Point(1, 1), new Point(2, 9), new Point(3, 2)));

        assertThat(fit.determination()).isLessThan(0.1);
    }

    /** Guards against a division by zero when all measurements have the same size. */
    @Test
    void rejectsPointsOfOneSize() {
        assertThatThrownBy(() -> LinearFit.of(List.of(new Point(1, 1), new Point(1, 2))))
                .hasMessageContaining("two sizes");
    }
}
