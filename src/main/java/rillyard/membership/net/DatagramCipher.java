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
 * Datagrams sealed with a key of the group (AES-256-GCM of the JDK). Each sender's key is made from the
 * group's and its address, so that no two senders share a nonce and nobody can seal for another address
 * that is checked here. A nonce is the sender's start (Unix ms, 48 bits) and a count (48 bits): what was
 * opened once, or comes from a process before the last one heard there, is turned away.
 *
 * <p>The first key seals; all of them open, so that a fleet changes its key in two rounds: the new one second
 * everywhere, then first. Not safe for use from several threads at once.
 */
final class DatagramCipher {
    /** What a seal adds to a datagram: its mark, the nonce, the tag. */
    static final int BYTES = 1 + 12 + 16;

    private static final byte MARK = (byte) 0x81;
    private static final int KEY_BYTES = 32;
    private static final int TAG_BITS = 128;

    /** Late datagrams may be so many behind the newest of their sender. */
    private static final int WINDOW = 64;

    /** What was opened of one sender: its start, the newest count, and which of those before it. */
    private static final class ReplayWindow {
        long start = -1;
        long newest;
        long before;
    }

    private record SenderState(List<SecretKeySpec> keys, ReplayWindow opened) {}

    private final List<byte[]> keys;
    private final Map<MemberAddress, SenderState> senders;
    private final SecretKeySpec own;
    private final long start;
    private long count;

    /**
     * Makes the seal of one process.
     *
     * @param keys of 32 bytes each, one or two
     * @param self where datagrams of this process come from
     * @param start of this process, Unix time (ms)
     * @param most senders that are remembered; guards against made-up addresses without end
     */
    DatagramCipher(List<byte[]> keys, MemberAddress self, long start, int most) {
        if (keys.isEmpty() || keys.size() > 2 || keys.stream().anyMatch(k -> k.length != KEY_BYTES)) {
            throw new IllegalArgumentException("expected one or two keys of " + KEY_BYTES + " bytes");
        }
        this.keys = List.copyOf(keys);
        this.start = start;
        this.own = derived(keys.get(0), self);
        this.senders = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<MemberAddress, SenderState> eldest) {
                return size() > most;
            }
        };
    }

    private static SecretKeySpec derived(byte[] key, MemberAddress at) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
            return new SecretKeySpec(
                    mac.doFinal(("rillyard fleet 1 " + at).getBytes(StandardCharsets.US_ASCII)), "AES");
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e); // every JDK has it
        }
    }

    /** Seals a datagram of this process. */
    byte[] seal(byte[] plain) {
        ByteBuffer nonce = ByteBuffer.allocate(12);
        put48(nonce, start);
        put48(nonce, ++count);
        try {
            Cipher c = Cipher.getInstance("AES/GCM/NoPadding");
            c.init(Cipher.ENCRYPT_MODE, own, new GCMParameterSpec(TAG_BITS, nonce.array()));
            c.updateAAD(new byte[] {MARK});
            return ByteBuffer.allocate(plain.length + BYTES)
                    .put(MARK)
                    .put(nonce.array())
                    .put(c.doFinal(plain))
                    .array();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Opens a datagram.
     *
     * @throws IllegalArgumentException if it is not sealed by a member at that address, or was opened before
     */
    byte[] open(MemberAddress from, byte[] sealed) {
        if (sealed.length < BYTES || sealed[0] != MARK) {
            throw new IllegalArgumentException("not sealed");
        }
        ByteBuffer nonce = ByteBuffer.wrap(sealed, 1, 12);
        long began = get48(nonce);
        long number = get48(nonce);
        SenderState known = senders.get(from);
        SenderState state = known != null
                ? known
                : new SenderState(keys.stream().map(k -> derived(k, from)).toList(), new ReplayWindow());
        if (known != null && replayed(state.opened, began, number)) {
            throw new IllegalArgumentException("opened before, or of an older process");
        }
        for (SecretKeySpec key : state.keys) {
            try {
                Cipher c = Cipher.getInstance("AES/GCM/NoPadding");
                c.init(Cipher.DECRYPT_MODE, key, new GCMParameterSpec(TAG_BITS, sealed, 1, 12));
                c.updateAAD(sealed, 0, 1);
                byte[] plain = c.doFinal(sealed, 13, sealed.length - 13);
                senders.put(from, state); // only who holds a key takes a place
                opened(state.opened, began, number);
                return plain;
            } catch (GeneralSecurityException e) {
                // another key, or none of ours
            }
        }
        throw new IllegalArgumentException("sealed by no key of this fleet for that address");
    }

    private static boolean replayed(ReplayWindow window, long began, long number) {
        if (began != window.start) {
            return began < window.start;
        }
        long behind = window.newest - number;
        return behind >= WINDOW || behind >= 0 && (window.before >>> behind & 1) == 1;
    }

    private static void opened(ReplayWindow window, long began, long number) {
        if (began != window.start) {
            window.start = began;
            window.newest = number;
            window.before = 1;
        } else if (number > window.newest) {
            long ahead = number - window.newest;
            window.before = (ahead >= WINDOW ? 0 : window.before << ahead) | 1;
            window.newest = number;
        } else {
            window.before |= 1L << window.newest - number;
        }
    }

    private static void put48(ByteBuffer buffer, long v) {
        buffer.putShort((short) (v >> 32)).putInt((int) v);
    }

    private static long get48(ByteBuffer buffer) {
        return (buffer.getShort() & 0xFFFFL) << 32 | buffer.getInt() & 0xFFFFFFFFL;
    }
}
