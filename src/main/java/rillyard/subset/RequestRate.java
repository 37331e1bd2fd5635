package rillyard.subset;

import java.nio.ByteBuffer;

/** This proxy's own attempts a second over some thirty seconds, repeats among them, and how it is told. */
public final class RequestRate {
    /** Time constant (ms). */
    private static final double MEMORY = 30_000;

    /** What is told is told anew once it is wrong by this part. */
    private static final double WORTH = 0.5;

    /** The most that is believed of anyone, a second. */
    private static final double MOST = 1e6;

    private double sum;
    private double at;
    private double since = Double.NaN;
    private double told = Double.NaN;

    /** An attempt of this proxy's own has ended. */
    public void onAttempt(double now) {
        since = Double.isNaN(since) ? now : since;
        sum = faded(now) + 1;
        at = now;
    }

    private double faded(double now) {
        return sum * Math.exp(-(now - at) / MEMORY);
    }

    /** Attempts a second; what a process that has just started lacks of its memory is made up for. */
    public double now(double now) {
        double seen = 1 - Math.exp(-(now - since + 1_000) / MEMORY);
        return sum == 0 ? 0 : 1_000 * faded(now) / MEMORY / seen;
    }

    /** What the others are to be told, or null while what they were told is near enough. */
    public byte[] attributeValue(double now) {
        double rate = now(now);
        if (Math.abs(rate - told) <= WORTH * told || rate == 0 && Double.isNaN(told)) {
            return null;
        }
        told = rate;
        return ByteBuffer.allocate(Float.BYTES).putFloat((float) rate).array();
    }

    /**
     * Reads what another told.
     *
     * @return attempts a second, 0 to a million
     * @throws IllegalArgumentException if it is none
     */
    public static double read(byte[] value) {
        float rate = value.length == Float.BYTES ? ByteBuffer.wrap(value).getFloat() : Float.NaN;
        if (!(rate >= 0 && rate <= MOST)) {
            throw new IllegalArgumentException("no rate: " + value.length + " bytes, " + rate);
        }
        return rate;
    }
}
