package rillyard.cli;

import java.net.InetSocketAddress;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converts {@code IP:port}; host names are not resolved. */
final class SocketAddressConverter implements ITypeConverter<InetSocketAddress> {
    @Override
    public InetSocketAddress convert(String text) {
        InetSocketAddress address = rillyard.config.SocketAddresses.parse(text);
        if (address != null) {
            return address;
        }
        throw new TypeConversionException("'" + text + "', expected IP:port, as 127.0.0.1:9000");
    }
}
