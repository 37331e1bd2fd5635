package rillyard.membership;

/** How late this member's own periodic steps run, over the last 10 to 20 s. Not thread-safe. */
public final class LoopHealth {
    /** The kind of attribute by which members publish their level; its value is the level's code. */
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

        /** Returns the level of a code, or null if there is none. */
        public static Level ofCode(int code) {
            return switch (code) {
                case 0 -> WELL;
                case 1 -> LATE;
                case 2 -> ILL;
                default -> null;
            };
        }
    }

    /** Length of a period; the worst of the present and of the previous one counts. */
    private static final double PERIOD_MILLIS = 10_000;

    private double periodBeganAt = Double.NaN;
    private double worstMillis;
    private double previousWorstMillis;

    /** Records a step that runs so many milliseconds later than planned. */
    public void onStep(double now, double lateMillis) {
        if (Double.isNaN(periodBeganAt) || now - periodBeganAt >= PERIOD_MILLIS) {
            previousWorstMillis = worstMillis;
            worstMillis = 0;
            periodBeganAt = now;
        }
        worstMillis = Math.max(worstMillis, lateMillis);
    }

    /** Returns the level as of the last step. */
    public Level level() {
        double worst = Math.max(worstMillis, previousWorstMillis);
        if (worst >= Level.ILL.minLateMillis) {
            return Level.ILL;
        }
        return worst >= Level.LATE.minLateMillis ? Level.LATE : Level.WELL;
    }
}
