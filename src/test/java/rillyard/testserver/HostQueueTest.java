package rillyard.testserver;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.scheduling.VirtualScheduler;

class HostQueueTest {
    private final VirtualScheduler timers = new VirtualScheduler();
    private final long zero = timers.now();
    private final List<String> ends = new ArrayList<>();

    private HostQueue host(int cores, int queue, double coldMs) {
        HostQueue hostQueue = new HostQueue(
                new HostSpec("s", "z", "k", 0, cores, 1, queue, 10, 0, 0, 1e6, coldMs, 0.25, false), timers);
        hostQueue.started(coldMs > 0);
        return hostQueue;
    }

    private HostQueue.Job job(String name, double ms) {
        return job(name, ms, true);
    }

    private HostQueue.Job job(String name, double ms, boolean starts) {
        return new HostQueue.Job(ms * 1e6) {
            @Override
            boolean starts() {
                return starts;
            }

            @Override
            void finished() {
                ends.add(name + "@" + Math.round((timers.now() - zero) / 1e6));
            }
        };
    }

    @Test
    void firstComeFirstServedOnSoManyCoresAndNoMoreThanTheQueueHolds() {
        HostQueue queue = host(2, 2, 0);
        assertThat(queue.enqueue(job("a", 10))).isTrue();
        assertThat(queue.enqueue(job("b", 30))).isTrue();
        assertThat(queue.enqueue(job("c", 10))).isTrue();
        assertThat(queue.enqueue(job("d", 10))).isTrue();
        assertThat(queue.enqueue(job("e", 10))).isFalse();
        assertThat(queue.running()).isEqualTo(2);
        assertThat(queue.queued()).isEqualTo(2);
        timers.drain();
        assertThat(ends).containsExactly("a@10", "c@20", "b@30", "d@30");
    }

    @Test
    void aPauseMovesAllEndsByItsLength() {
        HostQueue queue = host(1, 10, 0);
        queue.enqueue(job("a", 10));
        timers.passMs(4);
        queue.pause();
        queue.enqueue(job("b", 10));
        timers.passMs(2_000);
        assertThat(ends).isEmpty();
        queue.resume();
        timers.drain();
        assertThat(ends).containsExactly("a@2010", "b@2020");
    }

    @Test
    void aColdHostIsSlowAtFirstAndWarmAtTheEnd() {
        HostQueue queue = host(1, 10, 1_000);
        assertThat(queue.warmth()).isEqualTo(0.25);
        queue.enqueue(job("a", 10));
        timers.passMs(500);
        assertThat(queue.warmth()).isBetween(0.62, 0.63);
        timers.passMs(500);
        assertThat(queue.warmth()).isEqualTo(1);
        queue.enqueue(job("b", 10));
        timers.drain();
        assertThat(ends).containsExactly("a@40", "b@1010");
    }

    @Test
    void aSlowHostTakesSoManyTimesAsLong() {
        HostQueue queue = host(1, 10, 0);
        queue.slow(5);
        queue.enqueue(job("a", 10));
        timers.drain();
        queue.slow(1);
        queue.enqueue(job("b", 10));
        timers.drain();
        assertThat(ends).containsExactly("a@50", "b@60");
    }

    @Test
    void whatIsWithdrawnOrNotToRunTakesNoCore() {
        HostQueue queue = host(1, 10, 0);
        HostQueue.Job gone = job("b", 10);
        queue.enqueue(job("a", 10));
        queue.enqueue(gone);
        queue.enqueue(job("c", 10, false));
        queue.enqueue(job("d", 10));
        assertThat(queue.withdraw(gone)).isTrue();
        assertThat(queue.withdraw(gone)).isFalse();
        timers.drain();
        assertThat(ends).containsExactly("a@10", "d@20");
    }

    @Test
    void aHostThatIsKilledFinishesNothing() {
        HostQueue queue = host(1, 10, 0);
        queue.enqueue(job("a", 10));
        queue.enqueue(job("b", 10));
        queue.kill();
        timers.drain();
        assertThat(ends).isEmpty();
        queue.enqueue(job("c", 10));
        timers.drain();
        assertThat(ends).containsExactly("c@10");
    }

    @Test
    void utilisationIsTheShareOfTheCoresInUse() {
        HostQueue queue = host(2, 10, 0);
        queue.enqueue(job("a", 50));
        timers.passMs(100);
        assertThat(queue.utilisation()).isBetween(0.249, 0.251);
        timers.passMs(100);
        assertThat(queue.utilisation()).isZero();
    }
}
