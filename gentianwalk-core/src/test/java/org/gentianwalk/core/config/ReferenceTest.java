package org.gentianwalk.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.gentianwalk.core.config.schema.FolderSchema;
import org.gentianwalk.core.config.schema.InstanceSchema;
import org.gentianwalk.core.config.schema.Reference;
import org.junit.jupiter.api.Test;

class ReferenceTest {
    /** Guards against documentation whose keys, defaults or ranges differ from the schema's. */
    @Test
    void documentationContainsSchemaTables() throws IOException {
        String page = Files.readString(Path.of("../docs/configuration.md"));
        assertThat(page)
                .as("replace the tables by the output of \"gentianwalk config keys\"")
                .contains(Reference.markdown(FolderSchema.ROOT))
                .contains(Reference.markdown(InstanceSchema.ROOT));
    }
}
