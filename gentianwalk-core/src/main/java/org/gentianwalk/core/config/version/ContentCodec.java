package org.gentianwalk.core.config.version;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.Inflater;
import java.util.zip.InflaterInputStream;
import org.gentianwalk.proto.ConfigContent;
import org.gentianwalk.proto.ConfigFile;

/** Compresses and decompresses the files of large content. */
final class ContentCodec {
    /** Size of the content above which its files are compressed, bytes. */
    static final int COMPRESSION_THRESHOLD_BYTES = 256 * 1024;

    /** Maximum size of the decompressed files, bytes; four times what an operator can send. */
    static final int MAX_DECOMPRESSED_BYTES = 64 << 20;

    private ContentCodec() {}

    /** Returns the content, with its files compressed when it is large. */
    static ConfigContent compressIfLarge(ConfigContent content) {
        if (content.getSerializedSize() <= COMPRESSION_THRESHOLD_BYTES) {
            return content;
        }
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
        try (DeflaterOutputStream output = new DeflaterOutputStream(compressed, deflater)) {
            ConfigContent.newBuilder().addAllFiles(content.getFilesList()).build().writeTo(output);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            deflater.end();
        }
        return content.toBuilder()
                .clearFiles()
                .setDeflated(ByteString.copyFrom(compressed.toByteArray()))
                .build();
    }

    /** Returns the files of the content, decompressed if necessary. */
    static List<ConfigFile> decompressFiles(ConfigContent content)
            throws InvalidProtocolBufferException {
        if (content.getDeflated().isEmpty()) {
            return content.getFilesList();
        }
        Inflater inflater = new Inflater(true);
        try (InputStream input =
                new InflaterInputStream(content.getDeflated().newInput(), inflater)) {
            byte[] bytes = input.readNBytes(MAX_DECOMPRESSED_BYTES + 1);
            if (bytes.length > MAX_DECOMPRESSED_BYTES) {
                throw new InvalidProtocolBufferException(
                        "the decompressed files exceed " + MAX_DECOMPRESSED_BYTES + " bytes");
            }
            return ConfigContent.parseFrom(bytes).getFilesList();
        } catch (InvalidProtocolBufferException e) {
            throw e;
        } catch (IOException e) {
            throw new InvalidProtocolBufferException(e);
        } finally {
            inflater.end();
        }
    }
}
