package rillyard.membership.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.crypto.Cipher;
import javax.crypto.Mac;
import javax.crypto.spec.GCMParameterSpec;
import javax.crypto.spec.SecretKeySpec;
import rillyard.membership.MemberAddress;

/**
 * Encrypts and authenticates datagrams with a key of the fleet (AES-256-GCM).
 *
 * <p>Each sender's key is derived from the fleet's key and the sender's address, so that two senders never use the same
 * nonce with the same key, and a recorded datagram does not open if it is sent from another address. A nonce is the
 * sender's start (Unix ms, 48 bits) and a count (48 bits). Datagrams that were opened before, or that come from an
 * earlier process of the sender, are rejected.
 *
 * <p>Datagrams are sealed with the first key and opened with any, so that a fleet changes its key in two rounds: the
 * new key is added as the second on all members, then it becomes the first on all. Not thread-safe.
 */
final class DatagramCipher {
    private static final int NONCE_BYTES = 12;
    private static final int TAG_BYTES = 16;

    /** Bytes that sealing adds to a datagram: the mark, the nonce and the tag. */
    static final int OVERHEAD_BYTES = 1 + NONCE_BYTES + TAG_BYTES;

    /** First byte of a sealed datagram. */
    private static final byte MARK = (byte) 0x81;

    private static final int MAX_KEYS = 2;
    private static final int KEY_BYTES = 32;
    private static final String CIPHER = "AES/GCM/NoPadding";
    private static final String MAC = "HmacSHA256";
    private static final String KEY_CONTEXT = "rillyard fleet 1 ";

    private record SenderState(List<SecretKeySpec> keys, ReplayWindow window) {}

    private final List<byte[]> fleetKeys;
    private final Map<MemberAddress, SenderState> senders;
    private final SecretKeySpec ownKey;
    private final long startedAtMillis;
    private long count;

    /**
     * Creates the cipher of one process.
     *
     * @param fleetKeys one or two keys of 32 bytes
     * @param self the address that datagrams of this process come from
     * @param startedAtMillis the Unix time of the start of this process
     * @param maxSenders maximum number of senders whose state is kept, which bounds what forged addresses can add
     */
    DatagramCipher(List<byte[]> fleetKeys, MemberAddress self, long startedAtMillis, int maxSenders) {
        boolean areValid = fleetKeys.stream().allMatch(key -> key.length == KEY_BYTES);
        if (fleetKeys.isEmpty() || fleetKeys.size() > MAX_KEYS || !areValid) {
            throw new IllegalArgumentException("expected one or two keys of " + KEY_BYTES + " bytes");
        }
        this.fleetKeys = List.copyOf(fleetKeys);
        this.startedAtMillis = startedAtMillis;
        this.ownKey = deriveKey(fleetKeys.get(0), self);
        this.senders = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<MemberAddress, SenderState> eldest) {
                return size() > maxSenders;
            }
        };
    }

    private static SecretKeySpec deriveKey(byte[] fleetKey, MemberAddress sender) {
        try {
            Mac mac = Mac.getInstance(MAC);
            mac.init(new SecretKeySpec(fleetKey, MAC));
            return new SecretKeySpec(mac.doFinal((KEY_CONTEXT + sender).getBytes(StandardCharsets.US_ASCII)), "AES");
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e); // every JDK provides both algorithms
        }
    }

    /** Seals a datagram of this process. */
    byte[] seal(byte[] plain) {
        ByteBuffer nonce = ByteBuffer.allocate(NONCE_BYTES);
        putUnsigned48(nonce, startedAtMillis);
        putUnsigned48(nonce, ++count);
        try {
            Cipher cipher = Cipher.getInstance(CIPHER);
            cipher.init(Cipher.ENCRYPT_MODE, ownKey, new GCMParameterSpec(8 * TAG_BYTES, nonce.array()));
            cipher.updateAAD(new byte[] {MARK});
            return ByteBuffer.allocate(plain.length + OVERHEAD_BYTES)
                    .put(MARK)
                    .put(nonce.array())
                    .put(cipher.doFinal(plain))
                    .array();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Opens a datagram.
     *
     * @throws IllegalArgumentException if it was not sealed by a member at that address, or is replayed
     */
    byte[] open(MemberAddress from, byte[] sealed) {
        if (sealed.length < OVERHEAD_BYTES || sealed[0] != MARK) {
            throw new IllegalArgumentException("not sealed");
        }
        ByteBuffer nonce = ByteBuffer.wrap(sealed, 1, NONCE_BYTES);
        long senderStartedAtMillis = getUnsigned48(nonce);
        long senderCount = getUnsigned48(nonce);
        SenderState known = senders.get(from);
        if (known != null && known.window.isReplayed(senderStartedAtMillis, senderCount)) {
            throw new IllegalArgumentException("datagram replayed, or sent by an older process");
        }
        SenderState state = known != null ? known : newSender(from);
        for (SecretKeySpec key : state.keys) {
            byte[] plain = decrypt(sealed, key);
            if (plain != null) {
                senders.put(from, state); // state is kept only for senders with a key
                state.window.accept(senderStartedAtMillis, senderCount);
                return plain;
            }
        }
        throw new IllegalArgumentException("not sealed with a key of this fleet for the sender's address");
    }

    private SenderState newSender(MemberAddress from) {
        return new SenderState(
                fleetKeys.stream().map(key -> deriveKey(key, from)).toList(), new ReplayWindow());
    }

    /** Returns the plain text, or null if the datagram was not sealed with the key. */
    private static byte[] decrypt(byte[] sealed, SecretKeySpec key) {
        try {
            Cipher cipher = Cipher.getInstance(CIPHER);
            cipher.init(Cipher.DECRYPT_MODE, key, new GCMParameterSpec(8 * TAG_BYTES, sealed, 1, NONCE_BYTES));
            cipher.updateAAD(sealed, 0, 1);
            int headerBytes = 1 + NONCE_BYTES;
            return cipher.doFinal(sealed, headerBytes, sealed.length - headerBytes);
        } catch (GeneralSecurityException ignored) {
            return null;
        }
    }

    private static void putUnsigned48(ByteBuffer buffer, long value) {
        buffer.putShort((short) (value >> 32)).putInt((int) value);
    }

    private static long getUnsigned48(ByteBuffer buffer) {
        long high = buffer.getShort() & 0xFFFFL;
        long low = buffer.getInt() & 0xFFFFFFFFL;
        return (high << 32) | low;
    }
}
