package rillyard.membership;

/** Measures how late this member's periodic steps run, over the last 10 to 20 s. Not thread-safe. */
public final class LoopHealth {
    /** The kind of the attribute in which a member publishes its level; its value is the level's code. */
    public static final int ATTRIBUTE_KIND = 0;

    /** Levels of lateness. */
    public enum Level {
        /** Less than 50 ms. */
        WELL(0, 0),
        /** At least 50 ms, less than 500 ms. */
        LATE(1, 50),
        /** At least 500 ms. */
        ILL(2, 500);

        private final int code;
        private final double minLateMillis;

        Level(int code, double minLateMillis) {
            this.code = code;
            this.minLateMillis = minLateMillis;
        }

        /** Returns the code of the level in attributes. */
        public int code() {
            return code;
        }

        /** Returns the level with a code, or null if there is none. */
        public static Level ofCode(int code) {
            return switch (code) {
                case 0 -> WELL;
                case 1 -> LATE;
                case 2 -> ILL;
                default -> null;
            };
        }
    }

    /** Length of a measurement period; the level is the worst of the current and the previous period. */
    private static final double PERIOD_MILLIS = 10_000;

    private double periodStartedAtMillis = Double.NaN;
    private double worstMillis;
    private double previousWorstMillis;

    /** Records a step that runs {@code lateMillis} later than planned. */
    public void onStep(double nowMillis, double lateMillis) {
        if (Double.isNaN(periodStartedAtMillis) || nowMillis - periodStartedAtMillis >= PERIOD_MILLIS) {
            previousWorstMillis = worstMillis;
            worstMillis = 0;
            periodStartedAtMillis = nowMillis;
        }
        worstMillis = Math.max(worstMillis, lateMillis);
    }

    /** Returns the level as of the last step. */
    public Level level() {
        double maxMillis = Math.max(worstMillis, previousWorstMillis);
        if (maxMillis >= Level.ILL.minLateMillis) {
            return Level.ILL;
        }
        return maxMillis >= Level.LATE.minLateMillis ? Level.LATE : Level.WELL;
    }
}
