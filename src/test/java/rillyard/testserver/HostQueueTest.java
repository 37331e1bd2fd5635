package rillyard.testserver;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rillyard.scheduling.VirtualScheduler;

class HostQueueTest {
    private final VirtualScheduler scheduler = new VirtualScheduler();
    private final long startNanos = scheduler.now();
    private final List<String> completions = new ArrayList<>();

    private HostQueue newQueue(int cores, int queue, double warmUpMillis) {
        HostQueue hostQueue = new HostQueue(
                new HostSpec("s", "z", "k", 0, cores, 1, queue, 10, 0, 0, 1e6, warmUpMillis, 0.25, false), scheduler);
        hostQueue.onStarted(warmUpMillis > 0);
        return hostQueue;
    }

    private HostQueue.Job job(String name, double ms) {
        return job(name, ms, true);
    }

    private HostQueue.Job job(String name, double ms, boolean starts) {
        return new HostQueue.Job(ms * 1e6) {
            @Override
            boolean mayStart() {
                return starts;
            }

            @Override
            void onFinished() {
                completions.add(name + "@" + Math.round((scheduler.now() - startNanos) / 1e6));
            }
        };
    }

    @Test
    void jobsRunInArrivalOrderAndFullQueueRejects() {
        HostQueue queue = newQueue(2, 2, 0);
        assertThat(queue.enqueue(job("a", 10))).isTrue();
        assertThat(queue.enqueue(job("b", 30))).isTrue();
        assertThat(queue.enqueue(job("c", 10))).isTrue();
        assertThat(queue.enqueue(job("d", 10))).isTrue();
        assertThat(queue.enqueue(job("e", 10))).isFalse();
        assertThat(queue.running()).isEqualTo(2);
        assertThat(queue.queued()).isEqualTo(2);
        scheduler.drain();
        assertThat(completions).containsExactly("a@10", "c@20", "b@30", "d@30");
    }

    @Test
    void pauseDelaysCompletionsByItsLength() {
        HostQueue queue = newQueue(1, 10, 0);
        queue.enqueue(job("a", 10));
        scheduler.advanceMillis(4);
        queue.pause();
        queue.enqueue(job("b", 10));
        scheduler.advanceMillis(2_000);
        assertThat(completions).isEmpty();
        queue.resume();
        scheduler.drain();
        assertThat(completions).containsExactly("a@2010", "b@2020");
    }

    @Test
    void hostWarmingUpReachesFullSpeed() {
        HostQueue queue = newQueue(1, 10, 1_000);
        assertThat(queue.capacityShare()).isEqualTo(0.25);
        queue.enqueue(job("a", 10));
        scheduler.advanceMillis(500);
        assertThat(queue.capacityShare()).isBetween(0.62, 0.63);
        scheduler.advanceMillis(500);
        assertThat(queue.capacityShare()).isEqualTo(1);
        queue.enqueue(job("b", 10));
        scheduler.drain();
        assertThat(completions).containsExactly("a@40", "b@1010");
    }

    @Test
    void slowdownMultipliesServiceTime() {
        HostQueue queue = newQueue(1, 10, 0);
        queue.setSlowdown(5);
        queue.enqueue(job("a", 10));
        scheduler.drain();
        queue.setSlowdown(1);
        queue.enqueue(job("b", 10));
        scheduler.drain();
        assertThat(completions).containsExactly("a@50", "b@60");
    }

    @Test
    void withdrawnOrSkippedJobsUseNoCore() {
        HostQueue queue = newQueue(1, 10, 0);
        HostQueue.Job withdrawn = job("b", 10);
        queue.enqueue(job("a", 10));
        queue.enqueue(withdrawn);
        queue.enqueue(job("c", 10, false));
        queue.enqueue(job("d", 10));
        assertThat(queue.withdraw(withdrawn)).isTrue();
        assertThat(queue.withdraw(withdrawn)).isFalse();
        scheduler.drain();
        assertThat(completions).containsExactly("a@10", "d@20");
    }

    @Test
    void killedHostFinishesNoJob() {
        HostQueue queue = newQueue(1, 10, 0);
        queue.enqueue(job("a", 10));
        queue.enqueue(job("b", 10));
        queue.kill();
        scheduler.drain();
        assertThat(completions).isEmpty();
        queue.enqueue(job("c", 10));
        scheduler.drain();
        assertThat(completions).containsExactly("c@10");
    }

    @Test
    void utilisationIsShareOfBusyCores() {
        HostQueue queue = newQueue(2, 10, 0);
        queue.enqueue(job("a", 50));
        scheduler.advanceMillis(100);
        assertThat(queue.utilisation()).isBetween(0.249, 0.251);
        scheduler.advanceMillis(100);
        assertThat(queue.utilisation()).isZero();
    }
}
