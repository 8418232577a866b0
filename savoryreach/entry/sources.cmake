target_sources(savoryreach PRIVATE)
