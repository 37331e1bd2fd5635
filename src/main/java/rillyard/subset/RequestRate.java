package rillyard.subset;

import java.nio.ByteBuffer;

/**
 * The rate of this proxy's attempts, retries included, over some thirty seconds, and its form as a member attribute. Times
 * are milliseconds of a clock that never goes back. Not thread-safe.
 */
public final class RequestRate {
    private static final double TIME_CONSTANT_MILLIS = 30_000;

    /** The least time over which the rate of a process that has just started is taken. */
    private static final double MIN_WINDOW_MILLIS = 1_000;

    /** Relative change from which on the rate is published anew. */
    private static final double MIN_RELATIVE_CHANGE = 0.5;

    /** The greatest rate that is accepted from a peer, per second. */
    private static final double MAX_RATE = 1e6;

    private double sum;
    private double updatedAt;
    private double firstAt = Double.NaN;
    private double publishedRate = Double.NaN;

    /** Counts an attempt of this proxy. */
    public void onAttempt(double now) {
        firstAt = Double.isNaN(firstAt) ? now : firstAt;
        sum = decayedSum(now) + 1;
        updatedAt = now;
    }

    private double decayedSum(double now) {
        return sum * Math.exp(-(now - updatedAt) / TIME_CONSTANT_MILLIS);
    }

    /** Returns the attempts per second, corrected while the process is younger than the averaging time. */
    public double attemptsPerSecond(double now) {
        double observed = 1 - Math.exp(-(now - firstAt + MIN_WINDOW_MILLIS) / TIME_CONSTANT_MILLIS);
        return sum == 0 ? 0 : 1_000 * decayedSum(now) / TIME_CONSTANT_MILLIS / observed;
    }

    /** Returns the attribute value to publish, or null while the published one is near enough. */
    public byte[] attributeValue(double now) {
        double rate = attemptsPerSecond(now);
        if (Math.abs(rate - publishedRate) <= MIN_RELATIVE_CHANGE * publishedRate
                || (rate == 0 && Double.isNaN(publishedRate))) {
            return null;
        }
        publishedRate = rate;
        return ByteBuffer.allocate(Float.BYTES).putFloat((float) rate).array();
    }

    /**
     * Decodes an attribute value of a peer.
     *
     * @return attempts per second, from 0 to a million
     * @throws IllegalArgumentException if the value is not a rate
     */
    public static double decode(byte[] value) {
        float rate = value.length == Float.BYTES ? ByteBuffer.wrap(value).getFloat() : Float.NaN;
        if (!(rate >= 0 && rate <= MAX_RATE)) {
            throw new IllegalArgumentException("no rate: " + value.length + " bytes, " + rate);
        }
        return rate;
    }
}
