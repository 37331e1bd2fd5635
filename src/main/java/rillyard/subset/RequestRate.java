package rillyard.subset;

import java.nio.ByteBuffer;

/**
 * Measures the rate of this proxy's attempts, retries included, averaged over about 30 seconds, and encodes it as a
 * member attribute. Times are milliseconds of a clock that never goes back. Not thread-safe.
 */
public final class RequestRate {
    private static final double TIME_CONSTANT_MILLIS = 30_000;

    /** Minimum time over which the rate of a process that has just started is averaged. */
    private static final double MIN_WINDOW_MILLIS = 1_000;

    /** Relative change above which the rate is published again. */
    private static final double MIN_RELATIVE_CHANGE = 0.5;

    /** Maximum rate that is accepted from a peer. */
    private static final double MAX_ATTEMPTS_PER_SECOND = 1e6;

    private double decayingCount;
    private double updatedAtMillis;
    private double firstAttemptAtMillis = Double.NaN;
    private double publishedRate = Double.NaN;

    /** Counts an attempt of this proxy. */
    public void onAttempt(double nowMillis) {
        firstAttemptAtMillis = Double.isNaN(firstAttemptAtMillis) ? nowMillis : firstAttemptAtMillis;
        decayingCount = decayedCount(nowMillis) + 1;
        updatedAtMillis = nowMillis;
    }

    private double decayedCount(double nowMillis) {
        return decayingCount * Math.exp(-(nowMillis - updatedAtMillis) / TIME_CONSTANT_MILLIS);
    }

    /** Returns the attempts per second, corrected while the process is younger than the averaging time. */
    public double attemptsPerSecond(double nowMillis) {
        double observedFraction =
                1 - Math.exp(-(nowMillis - firstAttemptAtMillis + MIN_WINDOW_MILLIS) / TIME_CONSTANT_MILLIS);
        return decayingCount == 0 ? 0 : 1_000 * decayedCount(nowMillis) / TIME_CONSTANT_MILLIS / observedFraction;
    }

    /** Returns the attribute value to publish, null if the published one is close enough. */
    public byte[] attributeValue(double nowMillis) {
        double attemptsPerSecond = attemptsPerSecond(nowMillis);
        if (Math.abs(attemptsPerSecond - publishedRate) <= MIN_RELATIVE_CHANGE * publishedRate
                || (attemptsPerSecond == 0 && Double.isNaN(publishedRate))) {
            return null;
        }
        publishedRate = attemptsPerSecond;
        return ByteBuffer.allocate(Float.BYTES)
                .putFloat((float) attemptsPerSecond)
                .array();
    }

    /**
     * Decodes an attribute value of a peer.
     *
     * @return attempts per second, from 0 to a million
     * @throws IllegalArgumentException if the value is not a valid rate
     */
    public static double decode(byte[] value) {
        float rate = value.length == Float.BYTES ? ByteBuffer.wrap(value).getFloat() : Float.NaN;
        if (!(rate >= 0 && rate <= MAX_ATTEMPTS_PER_SECOND)) {
            throw new IllegalArgumentException("invalid request rate: " + value.length + " bytes, value " + rate);
        }
        return rate;
    }
}
