package rillyard.proxy.lifecycle;

import java.util.ArrayDeque;
import java.util.Deque;

/** A program in which one thread uses up the heap and ends, while another would keep the process alive. */
final class HeapExhaustion {
    private static final int BLOCK_BYTES = 1 << 16;

    private HeapExhaustion() {}

    public static void main(String[] args) throws InterruptedException {
        Thread exhausting = new Thread(HeapExhaustion::allocate);
        exhausting.setDaemon(true);
        exhausting.start();
        Thread.currentThread().join();
    }

    private static void allocate() {
        Deque<byte[]> blocks = new ArrayDeque<>();
        while (blocks.size() < Integer.MAX_VALUE) {
            blocks.add(new byte[BLOCK_BYTES]);
        }
    }
}
