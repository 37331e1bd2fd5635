package rillyard.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import rillyard.membership.Message.Kind;

/**
 * One member of the fleet, and what it believes of the others. Feed it messages and the time; it answers
 * through {@link Output}. Times are ms since its process started, by a clock that never goes back. Not safe
 * for use from several threads at once.
 */
public final class Membership {
    /** What it does. */
    public interface Output {
        /** Sends a message; it may get lost. */
        void send(MemberAddress to, Message message);

        /** A belief has changed. */
        void onMembershipEvent(MembershipEvent change);
    }

    /** Datagrams with all that is known for one who joins: some 300 members; the rest comes by and by. */
    private static final int WELCOME = 32;

    /** Datagrams an interval for those whose table differs from this member's. */
    private static final int PAGES = 8;

    /** So many of all members ask a suspect in an interval, besides those who accuse it. */
    private static final double ASK_SUSPECT = 4;

    /** How many are told directly that this member goes. */
    private static final int FAREWELLS = 6;

    /** While there are words to pass on they go to so many at a time, so often an interval, besides the probes. */
    private static final int TELL = 3;

    private static final double TELLS = 2.5;

    private final MembershipSettings settings;
    private final Output out;
    private final List<MemberAddress> seeds;
    private final RandomGenerator random;
    private final MemberTable roster;
    private final UpdateQueue gossip = new UpdateQueue();
    private final AttributeStore attributes = new AttributeStore();
    private final MessageAssembler outbox;
    private final LocalHealth health = new LocalHealth();
    private final IndirectProbes errands;
    private final long started;
    private final LocalMember identity;
    private Probe probe;
    private int sequence;
    private double lastTick = Double.NaN;
    private double latest;
    private double reachedOutAt = Double.NEGATIVE_INFINITY;
    private double toldAt = Double.NEGATIVE_INFINITY;
    private double pagedAt = Double.NEGATIVE_INFINITY;

    /**
     * Makes a member that knows nobody yet.
     *
     * @param start when its process started, Unix time (ms)
     * @param seeds where others may be, at the start and after a break
     * @param random its only source of chance
     */
    public Membership(
            MembershipSettings settings,
            MemberIdentity card,
            long start,
            List<MemberAddress> seeds,
            RandomGenerator random,
            Output out) {
        this.settings = settings;
        this.out = out;
        this.seeds = List.copyOf(seeds);
        this.random = random;
        this.roster = new MemberTable(random);
        this.outbox = new MessageAssembler(settings, roster, gossip, attributes, out);
        this.errands = new IndirectProbes(settings);
        this.started = start;
        this.identity = new LocalMember(card, start, settings.probeIntervalMillis());
    }

    /** What this member says of itself. */
    public MemberUpdate self() {
        return identity.word();
    }

    /** Whether it has left, or another has its name: it says nothing any more. */
    public boolean hasLeft() {
        return identity.silent();
    }

    /** What is believed of all others, in the order of their names. */
    public List<MemberSnapshot> snapshot() {
        return roster.beliefs().values().stream()
                .map(member -> new MemberSnapshot(member.word, member.since, member.by))
                .sorted(Comparator.comparing(
                        memberSnapshot -> memberSnapshot.word().identity().name()))
                .toList();
    }

    /** A number for all that it holds present, itself among them. */
    int digest() {
        return outbox.digest(self());
    }

    /** By how much this member distrusts its own hearing, 1 where not at all. */
    public double localHealthFactor() {
        return health.factor();
    }

    /** All others that are known, in no order. */
    public List<MemberUpdate> others() {
        return roster.beliefs().values().stream().map(member -> member.word).toList();
    }

    /**
     * Says something of this member to all.
     *
     * @param kind 0 to {@link MemberAttribute#MAX_KIND}; a fact of each
     * @param value of 1 to {@link MemberAttribute#MAX_VALUE} bytes, or none to take it back
     * @param lasts ms after which it ends where no more is heard of it, 1,000 to {@link MemberAttribute#MAX_MS}
     * @param again whether it is said again from time to time, until it is said otherwise; else it ends by itself
     * @return whether it is said; not where this member says more than ten a second for long
     * @throws IllegalArgumentException if one of these is out of its range
     */
    public boolean setAttribute(double now, int kind, byte[] value, double lasts, boolean again) {
        if (!(lasts >= 1_000)) {
            throw new IllegalArgumentException("lasts " + lasts + " ms, expected 1,000 and more");
        }
        return attributes.say(self(), kind, value, lasts, again, unix(now), now);
    }

    /** The facts of a kind that hold now, by owner: what members that are present have said, this one among them. */
    public Map<String, MemberAttribute> attributes(double now, int kind) {
        return attributes.holding(kind, self(), roster.beliefs(), now);
    }

    /** All that its next steps depend on but chance, in words; times in it count from {@code now}. */
    String state(double now) {
        StringBuilder out = new StringBuilder().append(identity.state(now)).append(health.factor());
        out.append(' ')
                .append(now - lastTick)
                .append(' ')
                .append(now - reachedOutAt)
                .append(' ')
                .append(now - pagedAt)
                .append(' ')
                .append(now - toldAt);
        out.append(probe == null ? " -" : probe.state(now, sequence));
        return out.append(errands.state(now))
                .append(gossip.state())
                .append(attributes.state(now))
                .append(roster.state(now))
                .toString();
    }

    /** Members alive or suspected, this one among them. */
    public int present() {
        return roster.present() + 1;
    }

    /** Time passes; to be called many times an interval. */
    public void onTick(double now) {
        if (hasLeft()) {
            return;
        }
        latest = now;
        double gap = now - lastTick;
        if (gap > settings.probeIntervalMillis()) {
            onProcessPause(now, gap);
        }
        lastTick = now;
        errands.overdue(now)
                .forEach(indirectProbe -> send(
                        Kind.NACK, indirectProbe.sequence(), indirectProbe.askerAt(), indirectProbe.asker(), null));
        if (probe != null) {
            goOn(now);
        }
        if (probe == null) {
            begin(now);
        }
        roster.suspects().forEach(member -> suspected(member, now));
        attributes.tick(self(), now);
        if ((!gossip.isEmpty() || attributes.urgent()) && now - toldAt >= settings.probeIntervalMillis() / TELLS) {
            toldAt = now;
            roster.some(TELL, "", true)
                    .forEach(memberState ->
                            send(Kind.NEWS, 0, memberState.word.identity().address(), "", null));
        }
        if (now - reachedOutAt >= 2 * settings.probeIntervalMillis()) {
            reachedOutAt = now;
            reachOut();
            roster.forget(now - settings.forgetAfterMillis()).forEach(name -> {
                gossip.forget(name);
                attributes.forget(name);
            });
        }
    }

    /**
     * This process stood still: answers may lie unread, and suspects had no chance to be heard. Guards against
     * a process that wakes up and has everybody declared dead.
     */
    private void onProcessPause(double now, double gap) {
        probe = null;
        errands.clear();
        health.worse(2);
        roster.suspects().forEach(member -> member.since += gap);
    }

    /**
     * A suspect is asked again and again, so that it hears of it and its word is heard, also where much gets
     * lost: by those who accuse it, by a few of the others, and by whoever has not heard its word when that should
     * long be round. Guards against the one in hundreds whom the word passed by.
     */
    private void suspected(MemberState member, double now) {
        if (now >= member.askAt) {
            member.askAt = now + settings.probeIntervalMillis();
            boolean late = now - member.since >= settings.leastSuspicion(present()) / 2;
            if (late || member.suspectors().contains(self().by()) || random.nextDouble() * present() < ASK_SUSPECT) {
                send(
                        Kind.PING,
                        ++sequence,
                        member.word.identity().address(),
                        member.word.identity().name(),
                        null);
            }
        }
        if (now - member.since
                >= SuspicionTimeout.time(
                        settings, present(), member.suspectors().size())) {
            believe(
                    member,
                    new MemberUpdate(member.word.identity(), member.word.incarnation(), MemberStatus.DEAD, self().by()),
                    now,
                    "its time");
        }
    }

    private void begin(double now) {
        MemberState member = roster.nextToProbe();
        if (member != null) {
            probe = new Probe(++sequence, member.word.identity(), now, health.factor(), settings);
            send(Kind.PING, probe.sequence, probe.target.address(), probe.target.name(), null);
        }
    }

    private void goOn(double now) {
        if (probe.asksHelp(now)) {
            for (MemberState helper : roster.some(settings.indirectProbes(), probe.target.name(), false)) {
                probe.helpers++;
                send(
                        Kind.ASK_FOR_ME,
                        probe.sequence,
                        helper.word.identity().address(),
                        probe.target.name(),
                        probe.target.address());
            }
        }
        if (!probe.over(now)) {
            if (probe.asksAgain(now)) {
                send(Kind.PING, probe.sequence, probe.target.address(), probe.target.name(), null);
            }
            return;
        }
        Probe p = probe;
        probe = null;
        if (p.answered) {
            health.better();
            return;
        }
        // Helpers that say nothing tell of this member's own hearing; those that say no speak for it.
        health.worse(p.helpers == 0 ? 1 : Math.max(0, p.helpers - p.nacks));
        MemberState member = roster.get(p.target.name());
        if (member != null && member.status().present()) {
            heard(
                    new MemberUpdate(
                            member.word.identity(), member.word.incarnation(), MemberStatus.SUSPECT, self().by()),
                    now,
                    "a probe");
        }
    }

    /** Asks one who is held dead, or a seed that nobody is known at: after a break all are to be one again. */
    private void reachOut() {
        MemberState dead = roster.someDead();
        if (dead != null) {
            send(
                    Kind.PING,
                    ++sequence,
                    dead.word.identity().address(),
                    dead.word.identity().name(),
                    null);
        }
        if (!seeds.isEmpty()) {
            MemberAddress seed = seeds.get(random.nextInt(seeds.size()));
            boolean known = seed.equals(self().identity().address())
                    || roster.beliefs().values().stream()
                            .anyMatch(member -> member.status().present()
                                    && member.word.identity().address().equals(seed));
            if (!known) {
                send(Kind.PING, ++sequence, seed, "", null);
            }
        }
    }

    /** Says that it goes, and says nothing after. */
    public void leave(double now) {
        if (hasLeft()) {
            return;
        }
        identity.leave();
        for (MemberState member : roster.some(FAREWELLS, "", false)) {
            send(Kind.NEWS, 0, member.word.identity().address(), "", null);
        }
        identity.fallSilent();
    }

    /** A message has come from an address. */
    public void onMessage(double now, MemberAddress from, Message message) {
        latest = now;
        MemberUpdate sender = message.sender();
        if (hasLeft() || !sender.identity().address().equals(from)) { // who speaks for another place is not believed
            return;
        }
        if (identity.isName(sender.identity().name())) {
            namesake(now, sender);
            return;
        }
        boolean fresh = roster.get(sender.identity().name()) == null;
        heard(sender, now, sender.identity().name());
        for (MemberUpdate update : message.updates()) {
            heard(update, now, "#" + update.by());
        }
        for (MemberAttribute attribute : message.attributes()) {
            MemberState member = roster.get(attribute.owner());
            attributes.heard(
                    attribute,
                    self(),
                    member == null || !member.status().present() ? null : member.word.incarnation(),
                    unix(now),
                    now);
        }
        answer(now, from, message);
        boolean joins = fresh
                && sender.status() == MemberStatus.ALIVE
                && roster.get(sender.identity().name()) != null;
        if (joins) {
            outbox.pages(self(), from, WELCOME);
        } else if (message.kind() != Kind.NEWS
                && message.digest() != digest()
                && now - pagedAt >= settings.probeIntervalMillis()) {
            pagedAt = now;
            outbox.pages(self(), from, PAGES);
        }
    }

    private void answer(double now, MemberAddress from, Message message) {
        switch (message.kind()) {
            case PING -> {
                if (message.target().isEmpty()
                        || message.target().equals(self().identity().name())) {
                    send(
                            Kind.ACK,
                            message.sequence(),
                            from,
                            message.sender().identity().name(),
                            null);
                }
            }
            case ASK_FOR_ME -> {
                if (errands.room() && !message.target().equals(self().identity().name())) {
                    errands.take(++sequence, message, from, now);
                    send(Kind.PING, sequence, message.targetAt(), message.target(), null);
                }
            }
            case ACK -> {
                IndirectProbes.IndirectProbe indirectProbe = errands.answered(message.sequence());
                if (indirectProbe != null) {
                    send(Kind.ACK, indirectProbe.sequence(), indirectProbe.askerAt(), indirectProbe.asker(), null);
                } else if (probe != null && probe.sequence == message.sequence()) {
                    probe.answered = true;
                }
            }
            case NACK -> {
                if (probe != null && probe.sequence == message.sequence()) {
                    probe.nacks++;
                }
            }
            case NEWS -> {}
        }
    }

    /** A process of this member's own name speaks. */
    private void namesake(double now, MemberUpdate other) {
        if (identity.outlives(other, unix(now))) {
            send(Kind.NEWS, 0, other.identity().address(), "", null);
        } else if (hasLeft()) {
            out.onMembershipEvent(new MembershipEvent(
                    now, other, MemberStatus.ALIVE, other.identity().name()));
        }
    }

    private void aboutSelf(MemberUpdate update, double now) {
        switch (identity.heard(update, now, unix(now))) {
            case SPOKEN_UP -> health.worse(1);
            case ASK ->
                send(
                        Kind.PING,
                        ++sequence,
                        update.identity().address(),
                        self().identity().name(),
                        null);
            case NOTHING -> {}
        }
    }

    /** This machine's Unix time (ms). */
    private long unix(double now) {
        return started + (long) now;
    }

    private void heard(MemberUpdate update, double now, String by) {
        if (identity.isName(update.identity().name())) {
            aboutSelf(update, now);
            return;
        }
        MemberState member = roster.get(update.identity().name());
        if (!IncarnationValidator.possible(
                update.incarnation(), member == null ? null : member.word.incarnation(), unix(now))) {
            return;
        }
        if (member == null) {
            if (update.status().present() && roster.beliefs().size() < settings.maxMembers()) {
                member = new MemberState(update, now);
                roster.add(member);
                told(member, now, null, by);
            }
        } else if (update.overrides(member.word)) {
            believe(member, update, now, by);
        } else if (member.status() == MemberStatus.SUSPECT
                && update.status() == MemberStatus.SUSPECT
                && update.incarnation().equals(member.word.incarnation())
                && member.addSuspector(update.by())) {
            member.word = update; // passed on as well: it is another's independent word
            gossip.changed(update.identity().name());
        }
    }

    private void believe(MemberState member, MemberUpdate update, double now, String by) {
        MemberStatus before = member.status();
        roster.set(member, update, now);
        told(member, now, before, by);
    }

    private void told(MemberState member, double now, MemberStatus before, String by) {
        member.by = by;
        if (member.status() == MemberStatus.SUSPECT) {
            member.addSuspector(member.word.by());
        }
        gossip.changed(member.word.identity().name());
        if (member.status() != before) {
            out.onMembershipEvent(new MembershipEvent(now, member.word, before, by));
        }
    }

    private void send(Kind kind, int seq, MemberAddress to, String target, MemberAddress targetAt) {
        outbox.send(self(), latest, kind, seq, to, target, targetAt);
    }
}
