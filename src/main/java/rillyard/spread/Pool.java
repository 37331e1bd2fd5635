package rillyard.spread;

/**
 * Where a proxy's pool of hosts lies, and how large it is.
 *
 * @param position among {@code of} pools that are laid evenly over the ring of hosts, from 0
 * @param weight times the usual size, 1 and more
 */
public record Pool(int position, int of, double weight) {}
