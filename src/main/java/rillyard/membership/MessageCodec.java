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
    static int size(MemberUpdate update) {
        return WORD + update.identity().name().length();
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
    public static byte[] encode(Message message, int room) {
        ByteBuffer buffer = ByteBuffer.allocate(4 * MAX_BYTES);
        buffer.put(VERSION)
                .put((byte) message.kind().ordinal())
                .putInt(message.sequence())
                .putInt(message.digest());
        put(buffer, message.sender());
        put(buffer, message.target());
        if (message.kind() == Message.Kind.ASK_FOR_ME) {
            put(buffer, message.targetAt());
        }
        for (MemberUpdate update : message.updates()) {
            put(buffer, update);
            if (buffer.position() > room) {
                break;
            }
        }
        for (MemberAttribute attribute : message.attributes()) {
            if (buffer.position() <= room) {
                put(buffer, attribute);
            }
        }
        if (buffer.position() > room) {
            throw new IllegalArgumentException("a datagram of more than " + room + " bytes");
        }
        byte[] out = new byte[buffer.position()];
        buffer.flip().get(out);
        return out;
    }

    private static void put(ByteBuffer buffer, MemberUpdate update) {
        buffer.put((byte) update.status().ordinal()).putShort((short) update.by());
        putStart(buffer, update.incarnation().startedAtMillis());
        buffer.putShort((short) update.incarnation().counter());
        put(buffer, update.identity().address());
        buffer.put((byte) update.identity().zone()).put((byte) update.identity().region());
        put(buffer, update.identity().name());
    }

    private static void put(ByteBuffer buffer, MemberAttribute attribute) {
        buffer.put((byte) (FACT + attribute.kind()));
        put(buffer, attribute.owner());
        putStart(buffer, attribute.start());
        buffer.putInt((int) attribute.version())
                .putShort((short) (attribute.ageMillis() / UNIT))
                .putShort((short) (attribute.ttlMillis() / UNIT));
        buffer.put((byte) attribute.value().length).put(attribute.value());
    }

    private static void putStart(ByteBuffer buffer, long start) {
        buffer.putShort((short) (start >> 32)).putInt((int) start);
    }

    private static void put(ByteBuffer buffer, MemberAddress address) {
        buffer.putInt(address.ip()).putShort((short) address.port());
    }

    private static void put(ByteBuffer buffer, String s) {
        buffer.put((byte) s.length()).put(s.getBytes(StandardCharsets.US_ASCII));
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
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        try {
            byte version = buffer.get();
            if (version != VERSION) {
                throw new IllegalArgumentException("version " + version + ", expected " + VERSION);
            }
            Message.Kind kind = value(Message.Kind.values(), buffer.get());
            int sequence = buffer.getInt();
            int digest = buffer.getInt();
            MemberUpdate sender = word(buffer);
            if (sender.status() != MemberStatus.ALIVE && sender.status() != MemberStatus.LEFT) {
                throw new IllegalArgumentException("a sender that calls itself " + sender.status());
            }
            String target = text(buffer);
            if (!target.isEmpty() && !MemberIdentity.isName(target)) {
                throw new IllegalArgumentException("a target that is no name");
            }
            MemberAddress at = kind == Message.Kind.ASK_FOR_ME ? endpoint(buffer) : null;
            List<MemberUpdate> news = new ArrayList<>();
            List<MemberAttribute> facts = new ArrayList<>();
            while (buffer.hasRemaining()) {
                if (buffer.get(buffer.position()) >= FACT) {
                    facts.add(fact(buffer));
                } else {
                    news.add(word(buffer));
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

    private static MemberUpdate word(ByteBuffer buffer) {
        MemberStatus status = value(MemberStatus.values(), buffer.get());
        int by = buffer.getShort() & 0xFFFF;
        long start = start(buffer);
        Incarnation life = new Incarnation(start, buffer.getShort() & 0xFFFF);
        MemberAddress at = endpoint(buffer);
        int zone = buffer.get() & 255;
        int region = buffer.get() & 255;
        return new MemberUpdate(new MemberIdentity(text(buffer), at, zone, region), life, status, by);
    }

    private static MemberAttribute fact(ByteBuffer buffer) {
        int kind = buffer.get() - FACT;
        String owner = text(buffer);
        long start = start(buffer);
        long version = buffer.getInt() & 0xFFFFFFFFL;
        double age = UNIT * (buffer.getShort() & 0xFFFF);
        double lasts = UNIT * (buffer.getShort() & 0xFFFF);
        int n = buffer.get();
        if (n < 0 || n > MemberAttribute.MAX_VALUE) {
            throw new IllegalArgumentException(
                    "a value of " + n + " bytes, expected " + MemberAttribute.MAX_VALUE + " at most");
        }
        byte[] value = new byte[n];
        buffer.get(value);
        return new MemberAttribute(owner, start, kind, version, age, lasts, value);
    }

    private static long start(ByteBuffer buffer) {
        return (buffer.getShort() & 0xFFFFL) << 32 | buffer.getInt() & 0xFFFFFFFFL;
    }

    private static MemberAddress endpoint(ByteBuffer buffer) {
        return new MemberAddress(buffer.getInt(), buffer.getShort() & 0xFFFF);
    }

    private static String text(ByteBuffer buffer) {
        int n = buffer.get();
        if (n < 0 || n > MemberIdentity.MAX_NAME) {
            throw new IllegalArgumentException(
                    "a name of " + n + " bytes, expected " + MemberIdentity.MAX_NAME + " at most");
        }
        byte[] s = new byte[n];
        buffer.get(s);
        return new String(s, StandardCharsets.US_ASCII);
    }
}
