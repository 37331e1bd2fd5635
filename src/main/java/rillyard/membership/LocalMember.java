package rillyard.membership;

/** Who a member is: its word about itself, and what is said under its name by others. */
final class LocalMember {
    /** What a word under this name asks for. */
    enum Claim {
        NOTHING,
        /** This member has spoken up: its word is a new one. */
        SPOKEN_UP,
        /** A later process may have the name; only its own word counts, so it is to be asked. */
        ASK
    }

    private final double askEvery;
    private MemberUpdate word;
    private boolean silent;
    private double askedAt = Double.NEGATIVE_INFINITY;

    /** One that has just started; {@code askEvery} (ms) is how often it asks for a namesake at most. */
    LocalMember(MemberIdentity card, long start, double askEvery) {
        this.askEvery = askEvery;
        this.word = new MemberUpdate(card, new Incarnation(start, 0), MemberStatus.ALIVE, MemberUpdate.by(card.name()));
    }

    MemberUpdate word() {
        return word;
    }

    /** Whether it has left, or another has its name. */
    boolean silent() {
        return silent;
    }

    boolean isName(String name) {
        return word.identity().name().equals(name);
    }

    /** It goes: this is its last word. */
    void leave() {
        word = new MemberUpdate(word.identity(), word.incarnation(), MemberStatus.LEFT, word.by());
    }

    void fallSilent() {
        silent = true;
    }

    /** A process of this name speaks itself: the one that started later has the name. Returns whether that is this one. */
    boolean outlives(MemberUpdate other, long unixNow) {
        if (other.incarnation().startedAtMillis() > word.incarnation().startedAtMillis()
                && IncarnationValidator.possible(other.incarnation(), null, unixNow)) {
            silent = true;
        }
        return other.incarnation().startedAtMillis() < word.incarnation().startedAtMillis();
    }

    /** Others hold this member for ill or dead, or remember a life of its name before this one: it speaks up. */
    Claim heard(MemberUpdate update, double now, long unixNow) {
        if (!IncarnationValidator.possible(update.incarnation(), word.incarnation(), unixNow)) {
            return Claim.NOTHING; // nobody but itself can have said so
        }
        // A life before this one may have had a later start: this machine's clock was set back in between. One at
        // another address may be a process that took the name over.
        if (update.incarnation().startedAtMillis() > word.incarnation().startedAtMillis()
                && !update.identity().address().equals(word.identity().address())
                && update.status().present()) {
            if (now - askedAt < askEvery) {
                return Claim.NOTHING;
            }
            askedAt = now;
            return Claim.ASK;
        }
        boolean later = update.incarnation().compareTo(word.incarnation()) > 0;
        if (!later
                && (update.status() == MemberStatus.ALIVE
                        || !update.incarnation().equals(word.incarnation()))) {
            return Claim.NOTHING;
        }
        word = new MemberUpdate(
                word.identity(),
                (later ? update.incarnation() : word.incarnation()).next(),
                MemberStatus.ALIVE,
                word.by());
        return Claim.SPOKEN_UP;
    }

    /** All that its next steps depend on, in words; times count from {@code now}. */
    String state(double now) {
        return word + " " + silent + (now - askedAt);
    }
}
