package rillyard.membership;

/** How late a member's own steps come, over the last while: how ill its process is, as it can tell itself. */
public final class LoopHealth {
    /** The kind of fact by which members tell each other; its value is the ordinal of a {@link Level}. */
    public static final int FACT = 0;

    /** How late steps come. */
    public enum Level {
        /** Less than 50 ms. */
        WELL(0),
        /** Less than 500 ms. */
        LATE(50),
        /** More. */
        ILL(500);

        private final double from;

        Level(double from) {
            this.from = from;
        }
    }

    /** The worst of so long (ms) counts, at least; of twice that at most. */
    private static final double WHILE = 10_000;

    private double begun = Double.NaN;
    private double worst;
    private double worstBefore;

    /** A step comes, so much (ms) later than it should. */
    public void step(double now, double late) {
        if (Double.isNaN(begun) || now - begun >= WHILE) {
            worstBefore = worst;
            worst = 0;
            begun = now;
        }
        worst = Math.max(worst, late);
    }

    /** The level as of the last step. */
    public Level level() {
        Level level = Level.WELL;
        for (Level l : Level.values()) {
            if (Math.max(worst, worstBefore) >= l.from) {
                level = l;
            }
        }
        return level;
    }
}
