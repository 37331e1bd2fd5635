package rillyard.cli;

import java.net.InetSocketAddress;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Reads {@code IP:port}; names are not looked up. */
final class SocketAddressConverter implements ITypeConverter<InetSocketAddress> {
    @Override
    public InetSocketAddress convert(String s) {
        InetSocketAddress address = rillyard.config.SocketAddresses.parse(s);
        if (address != null) {
            return address;
        }
        throw new TypeConversionException("'" + s + "', expected IP:port, as 127.0.0.1:9000");
    }
}
