package rillyard.balancer;

/**
 * The statistics over all hosts of one machine kind, used as a prior for hosts with few responses of their own. Not
 * thread-safe.
 */
final class MachineKindStats {
    private final MovingAverage slowness = new MovingAverage(1);
    private final StepMedian millisPerRequest;
    private int samples;

    /** Creates statistics without samples; {@code medianStep} is the relative step of the median estimate. */
    MachineKindStats(double medianStep) {
        millisPerRequest = new StepMedian(medianStep);
    }

    /** Returns the average of the latency of these hosts relative to the mean over all hosts. */
    MovingAverage slowness() {
        return slowness;
    }

    /** Returns the median of the time (ms) that these hosts take per outstanding request. */
    StepMedian millisPerRequest() {
        return millisPerRequest;
    }

    /** Counts a response and returns the number of responses so far. */
    int countSample() {
        return ++samples;
    }
}
