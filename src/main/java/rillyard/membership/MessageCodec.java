package rillyard.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Datagrams of the fleet as bytes, big-endian: version, kind, sequence (4), digest (4), sender, target, its address for
 * {@link Message.Kind#ASK_FOR_ME}, then words and facts until the end. A word: status, by (2), start (6), incarnation
 * (2), address (4), port (2), zone, region, name's length and name. A fact: 64 and its kind, owner's length and name, start (6),
 * version (4), age and end (2 each, in 100 ms), value's length and value.
 */
public final class MessageCodec {
    /** A platform may carry no more. */
    public static final int MAX_BYTES = 256;

    private static final byte VERSION = 1;
    private static final int WORD = 20;

    /** The bytes of the shortest word. */
    static final int LEAST_WORD = WORD + 1;

    /** The first byte of a fact is this and its kind; a word's is its status, which is less. */
    private static final int FACT = 64;

    /** The unit (ms) of the times of facts. */
    private static final double UNIT = 100;

    private MessageCodec() {}

    /** The bytes that a word takes. */
    static int size(MemberUpdate u) {
        return WORD + u.card().name().length();
    }

    /** The bytes that a message without news takes. */
    static int emptySize(MemberUpdate sender, String target, boolean withAddress) {
        return 11 + size(sender) + target.length() + (withAddress ? 6 : 0);
    }

    /**
     * Writes a message.
     *
     * @throws IllegalArgumentException if it does not fit into {@code room} bytes
     */
    public static byte[] encode(Message m, int room) {
        ByteBuffer b = ByteBuffer.allocate(4 * MAX_BYTES);
        b.put(VERSION).put((byte) m.kind().ordinal()).putInt(m.sequence()).putInt(m.digest());
        put(b, m.sender());
        put(b, m.target());
        if (m.kind() == Message.Kind.ASK_FOR_ME) {
            put(b, m.targetAt());
        }
        for (MemberUpdate u : m.news()) {
            put(b, u);
            if (b.position() > room) {
                break;
            }
        }
        for (MemberAttribute f : m.facts()) {
            if (b.position() <= room) {
                put(b, f);
            }
        }
        if (b.position() > room) {
            throw new IllegalArgumentException("a datagram of more than " + room + " bytes");
        }
        byte[] out = new byte[b.position()];
        b.flip().get(out);
        return out;
    }

    private static void put(ByteBuffer b, MemberUpdate u) {
        b.put((byte) u.status().ordinal()).putShort((short) u.by());
        putStart(b, u.life().start());
        b.putShort((short) u.life().incarnation());
        put(b, u.card().at());
        b.put((byte) u.card().zone()).put((byte) u.card().region());
        put(b, u.card().name());
    }

    private static void put(ByteBuffer b, MemberAttribute f) {
        b.put((byte) (FACT + f.kind()));
        put(b, f.owner());
        putStart(b, f.start());
        b.putInt((int) f.version()).putShort((short) (f.age() / UNIT)).putShort((short) (f.lasts() / UNIT));
        b.put((byte) f.value().length).put(f.value());
    }

    private static void putStart(ByteBuffer b, long start) {
        b.putShort((short) (start >> 32)).putInt((int) start);
    }

    private static void put(ByteBuffer b, MemberAddress e) {
        b.putInt(e.ip()).putShort((short) e.port());
    }

    private static void put(ByteBuffer b, String s) {
        b.put((byte) s.length()).put(s.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Reads a message.
     *
     * @throws IllegalArgumentException if the bytes are none; says what was expected
     */
    public static Message decode(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            throw new IllegalArgumentException(bytes.length + " bytes, expected " + MAX_BYTES + " at most");
        }
        ByteBuffer b = ByteBuffer.wrap(bytes);
        try {
            byte version = b.get();
            if (version != VERSION) {
                throw new IllegalArgumentException("version " + version + ", expected " + VERSION);
            }
            Message.Kind kind = value(Message.Kind.values(), b.get());
            int sequence = b.getInt();
            int digest = b.getInt();
            MemberUpdate sender = word(b);
            if (sender.status() != MemberStatus.ALIVE && sender.status() != MemberStatus.LEFT) {
                throw new IllegalArgumentException("a sender that calls itself " + sender.status());
            }
            String target = text(b);
            if (!target.isEmpty() && !MemberIdentity.isName(target)) {
                throw new IllegalArgumentException("a target that is no name");
            }
            MemberAddress at = kind == Message.Kind.ASK_FOR_ME ? endpoint(b) : null;
            List<MemberUpdate> news = new ArrayList<>();
            List<MemberAttribute> facts = new ArrayList<>();
            while (b.hasRemaining()) {
                if (b.get(b.position()) >= FACT) {
                    facts.add(fact(b));
                } else {
                    news.add(word(b));
                }
            }
            return new Message(kind, sequence, digest, sender, target, at, List.copyOf(news), List.copyOf(facts));
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("cut off after " + bytes.length + " bytes", e);
        }
    }

    private static <T> T value(T[] all, byte ordinal) {
        if (ordinal < 0 || ordinal >= all.length) {
            throw new IllegalArgumentException("kind or status " + ordinal + ", expected 0 to " + (all.length - 1));
        }
        return all[ordinal];
    }

    private static MemberUpdate word(ByteBuffer b) {
        MemberStatus status = value(MemberStatus.values(), b.get());
        int by = b.getShort() & 0xFFFF;
        long start = start(b);
        Incarnation life = new Incarnation(start, b.getShort() & 0xFFFF);
        MemberAddress at = endpoint(b);
        int zone = b.get() & 255;
        int region = b.get() & 255;
        return new MemberUpdate(new MemberIdentity(text(b), at, zone, region), life, status, by);
    }

    private static MemberAttribute fact(ByteBuffer b) {
        int kind = b.get() - FACT;
        String owner = text(b);
        long start = start(b);
        long version = b.getInt() & 0xFFFFFFFFL;
        double age = UNIT * (b.getShort() & 0xFFFF);
        double lasts = UNIT * (b.getShort() & 0xFFFF);
        int n = b.get();
        if (n < 0 || n > MemberAttribute.MAX_VALUE) {
            throw new IllegalArgumentException(
                    "a value of " + n + " bytes, expected " + MemberAttribute.MAX_VALUE + " at most");
        }
        byte[] value = new byte[n];
        b.get(value);
        return new MemberAttribute(owner, start, kind, version, age, lasts, value);
    }

    private static long start(ByteBuffer b) {
        return (b.getShort() & 0xFFFFL) << 32 | b.getInt() & 0xFFFFFFFFL;
    }

    private static MemberAddress endpoint(ByteBuffer b) {
        return new MemberAddress(b.getInt(), b.getShort() & 0xFFFF);
    }

    private static String text(ByteBuffer b) {
        int n = b.get();
        if (n < 0 || n > MemberIdentity.MAX_NAME) {
            throw new IllegalArgumentException(
                    "a name of " + n + " bytes, expected " + MemberIdentity.MAX_NAME + " at most");
        }
        byte[] s = new byte[n];
        b.get(s);
        return new String(s, StandardCharsets.US_ASCII);
    }
}
