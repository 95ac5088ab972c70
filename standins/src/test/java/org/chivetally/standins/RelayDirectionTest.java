package org.chivetally.standins;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hamcrest.MatcherAssert;
import org.hamcrest.Matchers;
import org.junit.jupiter.api.Test;

/** Checks the order and timing of forwarded bytes with a simulated clock. */
class RelayDirectionTest {
    private static final int MAXIMUM_DELAY_MILLIS = 20;

    private final AtomicLong delayMillis = new AtomicLong();
    private final LongAdder forwarded = new LongAdder();
    private final LongAdder withheld = new LongAdder();
    private final EmbeddedChannel sink = new EmbeddedChannel();
    private final RelayDirection direction = new RelayDirection(
            sink,
            () -> TimeUnit.MILLISECONDS.toNanos(delayMillis.get()),
            (nanos, eventLoop, step) -> eventLoop.schedule(step, nanos, TimeUnit.NANOSECONDS),
            forwarded,
            withheld);
    private final EmbeddedChannel source = new EmbeddedChannel(direction);

    @Test
    void forwardsBytesAndCloseAfterTheDelay() {
        source.freezeTime();
        delayMillis.set(5);
        receive("ab");
        advanceMillis(4);
        MatcherAssert.assertThat(takeForwarded(), Matchers.is(""));
        advanceMillis(1);
        MatcherAssert.assertThat(takeForwarded(), Matchers.is("ab"));
        source.pipeline().fireChannelInactive();
        advanceMillis(4);
        MatcherAssert.assertThat(sink.isOpen(), Matchers.is(true));
        advanceMillis(1);
        MatcherAssert.assertThat(sink.isOpen(), Matchers.is(false));
    }

    // The direction is silenced while bytes are in transit. Neither these bytes nor the close may arrive.
    @Test
    void silenceWithholdsBytesInTransit() {
        source.freezeTime();
        delayMillis.set(5);
        receive("ab");
        direction.silence();
        receive("c");
        source.pipeline().fireChannelInactive();
        advanceMillis(5);
        MatcherAssert.assertThat(takeForwarded(), Matchers.is(""));
        MatcherAssert.assertThat(sink.isOpen(), Matchers.is(true));
        MatcherAssert.assertThat(withheld.sum(), Matchers.is(3L));
    }

    // Bytes that arrive after the delay was reduced are due before earlier bytes, but must not overtake them.
    @Property
    void delayChangesNeverReorderBytes(
            @ForAll @Size(max = 30) List<@IntRange(max = MAXIMUM_DELAY_MILLIS) Integer> delays,
            @ForAll @IntRange(max = MAXIMUM_DELAY_MILLIS) int pauseMillis) {
        source.freezeTime();
        StringBuilder expected = new StringBuilder();
        StringBuilder received = new StringBuilder();
        for (int delay : delays) {
            delayMillis.set(delay);
            String chunk = Integer.toString(expected.length()) + ' ';
            receive(chunk);
            expected.append(chunk);
            advanceMillis(pauseMillis);
            received.append(takeForwarded());
            MatcherAssert.assertThat(expected.toString(), Matchers.startsWith(received.toString()));
        }
        advanceMillis(MAXIMUM_DELAY_MILLIS);
        received.append(takeForwarded());
        MatcherAssert.assertThat(received.toString(), Matchers.is(expected.toString()));
    }

    private void receive(String text) {
        source.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    private void advanceMillis(long millis) {
        source.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        source.runScheduledPendingTasks();
    }

    private String takeForwarded() {
        StringBuilder text = new StringBuilder();
        for (ByteBuf bytes = sink.readOutbound(); bytes != null; bytes = sink.readOutbound()) {
            text.append(bytes.toString(StandardCharsets.UTF_8));
            bytes.release();
        }
        return text.toString();
    }
}
