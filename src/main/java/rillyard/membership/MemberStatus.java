package rillyard.membership;

/**
 * The status of a member. Of two updates of one incarnation the later in this order overrides the other.
 */
public enum MemberStatus {
    /** The member answers, or nobody suspects it. */
    ALIVE(0),
    /** The member did not answer a probe; unless it refutes the suspicion in time it is dead. */
    SUSPECT(1),
    /** The member did not refute a suspicion in time. */
    DEAD(2),
    /** The member has announced that it leaves. */
    LEFT(3);

    private final int code;

    MemberStatus(int code) {
        this.code = code;
    }

    /** Returns the code of the status in datagrams. */
    int code() {
        return code;
    }

    /**
     * Returns the status of a code.
     *
     * @throws IllegalArgumentException if there is none
     */
    static MemberStatus ofCode(int code) {
        return switch (code) {
            case 0 -> ALIVE;
            case 1 -> SUSPECT;
            case 2 -> DEAD;
            case 3 -> LEFT;
            default -> throw new IllegalArgumentException("kind or status " + code + ", expected 0 to 3");
        };
    }

    /** Returns whether the member may still be running. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT;
    }
}
