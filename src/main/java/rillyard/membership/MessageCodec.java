package rillyard.membership;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes the datagrams of the fleet; fields are big-endian, lengths in bytes are in parentheses.
 *
 * <p>A datagram is version (1), kind (1), sequence (4), digest (4), sender, target, the target's address for
 * {@link Message.Kind#PING_REQUEST}, then updates and attributes until the end. An update is status (1), reporter (2),
 * start (6), counter (2), address (4), port (2), zone (1), region (1) and the name. An attribute is 64 plus its kind
 * (1), the owner's name, start (6), version (4), age and time to live (2 each, in 100 ms) and the value. Names and
 * values follow their lengths (1).
 */
public final class MessageCodec {
    /** Maximum size of a datagram in bytes, which any platform carries. */
    public static final int MAX_BYTES = 256;

    private static final byte VERSION = 1;

    /** Bytes of an update without its name. */
    private static final int UPDATE_FIXED_SIZE = 20;

    /** Bytes of a message without updates, sender, target and the target's address. */
    private static final int HEADER_SIZE = 11;

    private static final int ADDRESS_SIZE = 6;

    /** Bytes of the shortest update. */
    static final int MIN_UPDATE_SIZE = UPDATE_FIXED_SIZE + 1;

    /** Added to the kind in an attribute's first byte; an update's first byte is its status, which is less. */
    private static final int ATTRIBUTE_MARK = 64;

    /** Unit of the age and time to live of attributes. */
    private static final double TIME_UNIT_MILLIS = 100;

    private MessageCodec() {}

    /** Returns the size of an update in bytes. */
    static int size(MemberUpdate update) {
        return UPDATE_FIXED_SIZE + update.identity().name().length();
    }

    /** Returns the size of a message without updates and attributes, in bytes. */
    static int emptySize(MemberUpdate sender, String target, boolean hasTargetAddress) {
        return HEADER_SIZE + size(sender) + target.length() + (hasTargetAddress ? ADDRESS_SIZE : 0);
    }

    /**
     * Encodes a message.
     *
     * @throws IllegalArgumentException if it needs more than {@code maxBytes}
     */
    public static byte[] encode(Message message, int maxBytes) {
        ByteBuffer buffer = ByteBuffer.allocate(4 * MAX_BYTES);
        buffer.put(VERSION)
                .put((byte) message.kind().code())
                .putInt(message.sequence())
                .putInt(message.digest());
        put(buffer, message.sender());
        put(buffer, message.target());
        if (message.kind() == Message.Kind.PING_REQUEST) {
            put(buffer, message.targetAddress());
        }
        for (MemberUpdate update : message.updates()) {
            put(buffer, update);
            if (buffer.position() > maxBytes) {
                break;
            }
        }
        for (MemberAttribute attribute : message.attributes()) {
            if (buffer.position() <= maxBytes) {
                put(buffer, attribute);
            }
        }
        if (buffer.position() > maxBytes) {
            throw new IllegalArgumentException("message needs more than " + maxBytes + " bytes");
        }
        byte[] encoded = new byte[buffer.position()];
        buffer.flip().get(encoded);
        return encoded;
    }

    private static void put(ByteBuffer buffer, MemberUpdate update) {
        buffer.put((byte) update.status().code()).putShort((short) update.reporterId());
        putStart(buffer, update.incarnation().startedAtMillis());
        buffer.putShort((short) update.incarnation().counter());
        put(buffer, update.identity().address());
        buffer.put((byte) update.identity().zone()).put((byte) update.identity().region());
        put(buffer, update.identity().name());
    }

    private static void put(ByteBuffer buffer, MemberAttribute attribute) {
        buffer.put((byte) (ATTRIBUTE_MARK + attribute.kind()));
        put(buffer, attribute.owner());
        putStart(buffer, attribute.ownerStartedAtMillis());
        buffer.putInt((int) attribute.version())
                .putShort((short) (attribute.ageMillis() / TIME_UNIT_MILLIS))
                .putShort((short) (attribute.ttlMillis() / TIME_UNIT_MILLIS));
        buffer.put((byte) attribute.value().length).put(attribute.value());
    }

    private static void putStart(ByteBuffer buffer, long startedAtMillis) {
        buffer.putShort((short) (startedAtMillis >> 32)).putInt((int) startedAtMillis);
    }

    private static void put(ByteBuffer buffer, MemberAddress address) {
        buffer.putInt(address.ip()).putShort((short) address.port());
    }

    private static void put(ByteBuffer buffer, String text) {
        buffer.put((byte) text.length()).put(text.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Decodes a message.
     *
     * @throws IllegalArgumentException if the bytes are not a valid message; its text says what was expected
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
            Message.Kind kind = Message.Kind.ofCode(buffer.get());
            int sequence = buffer.getInt();
            int digest = buffer.getInt();
            MemberUpdate sender = readSender(buffer);
            String target = readTarget(buffer);
            MemberAddress targetAddress = kind == Message.Kind.PING_REQUEST ? readAddress(buffer) : null;
            List<MemberUpdate> updates = new ArrayList<>();
            List<MemberAttribute> attributes = new ArrayList<>();
            while (buffer.hasRemaining()) {
                if (buffer.get(buffer.position()) >= ATTRIBUTE_MARK) {
                    attributes.add(readAttribute(buffer));
                } else {
                    updates.add(readUpdate(buffer));
                }
            }
            return new Message(
                    kind,
                    sequence,
                    digest,
                    sender,
                    target,
                    targetAddress,
                    List.copyOf(updates),
                    List.copyOf(attributes));
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("datagram truncated after " + bytes.length + " bytes", e);
        }
    }

    private static MemberUpdate readSender(ByteBuffer buffer) {
        MemberUpdate sender = readUpdate(buffer);
        if (sender.status() != MemberStatus.ALIVE && sender.status() != MemberStatus.LEFT) {
            throw new IllegalArgumentException("expected status ALIVE or LEFT of the sender, found " + sender.status());
        }
        return sender;
    }

    private static String readTarget(ByteBuffer buffer) {
        String target = readText(buffer);
        if (!target.isEmpty() && !MemberIdentity.isValidName(target)) {
            throw new IllegalArgumentException("target is not a valid member name");
        }
        return target;
    }

    private static MemberUpdate readUpdate(ByteBuffer buffer) {
        MemberStatus status = MemberStatus.ofCode(buffer.get());
        int reporterId = buffer.getShort() & 0xFFFF;
        long startedAtMillis = readStart(buffer);
        Incarnation incarnation = new Incarnation(startedAtMillis, buffer.getShort() & 0xFFFF);
        MemberAddress address = readAddress(buffer);
        int zone = buffer.get() & 255;
        int region = buffer.get() & 255;
        return new MemberUpdate(
                new MemberIdentity(readText(buffer), address, zone, region), incarnation, status, reporterId);
    }

    private static MemberAttribute readAttribute(ByteBuffer buffer) {
        int kind = buffer.get() - ATTRIBUTE_MARK;
        String owner = readText(buffer);
        long startedAtMillis = readStart(buffer);
        long version = buffer.getInt() & 0xFFFFFFFFL;
        double ageMillis = TIME_UNIT_MILLIS * (buffer.getShort() & 0xFFFF);
        double ttlMillis = TIME_UNIT_MILLIS * (buffer.getShort() & 0xFFFF);
        int length = buffer.get();
        if (length < 0 || length > MemberAttribute.MAX_VALUE) {
            throw new IllegalArgumentException(
                    "attribute value of " + length + " bytes, expected " + MemberAttribute.MAX_VALUE + " at most");
        }
        byte[] value = new byte[length];
        buffer.get(value);
        return new MemberAttribute(owner, startedAtMillis, kind, version, ageMillis, ttlMillis, value);
    }

    private static long readStart(ByteBuffer buffer) {
        long high = buffer.getShort() & 0xFFFFL;
        long low = buffer.getInt() & 0xFFFFFFFFL;
        return (high << 32) | low;
    }

    private static MemberAddress readAddress(ByteBuffer buffer) {
        return new MemberAddress(buffer.getInt(), buffer.getShort() & 0xFFFF);
    }

    private static String readText(ByteBuffer buffer) {
        int length = buffer.get();
        if (length < 0 || length > MemberIdentity.MAX_NAME) {
            throw new IllegalArgumentException(
                    "name of " + length + " bytes, expected " + MemberIdentity.MAX_NAME + " at most");
        }
        byte[] text = new byte[length];
        buffer.get(text);
        return new String(text, StandardCharsets.US_ASCII);
    }
}
