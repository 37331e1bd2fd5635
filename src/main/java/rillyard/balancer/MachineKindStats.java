package rillyard.balancer;

/** What the hosts of one machine kind have in common: a prior for hosts with few answers of their own. Not thread-safe. */
final class MachineKindStats {
    private final MovingAverage slowness = new MovingAverage(1);
    private final StepMedian millisPerRequest;
    private int samples;

    /** Creates statistics without samples; {@code medianStep} is the relative step of the median. */
    MachineKindStats(double medianStep) {
        millisPerRequest = new StepMedian(medianStep);
    }

    /** Returns the statistic of the latency of such hosts relative to the mean. */
    MovingAverage slowness() {
        return slowness;
    }

    /** Returns the statistic of the time (ms) such hosts take for each request they hold. */
    StepMedian millisPerRequest() {
        return millisPerRequest;
    }

    /** Counts an answer and returns the number of answers so far. */
    int countSample() {
        return ++samples;
    }
}
